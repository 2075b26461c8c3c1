package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// slotsKey is the store key of the document of the floating slots.
const slotsKey = "slots"

// slotStore reads and writes the document of the floating slots in the store.
type slotStore struct {
	config *Config
	// count is the number of floating slots.
	count int
	// revision is the revision that was read, which the next write expects.
	revision storer.Revision
	writes   uint64
	retryAt  time.Time
}

func newSlotStore(config *Config, count int) *slotStore {
	return &slotStore{
		config: config,
		count:  count,
	}
}

// backingOff reports whether the store is not called because a recent call failed.
func (s *slotStore) backingOff() bool { return s.config.Now().Before(s.retryAt) }

// read returns the stored document. All slots are free if there is none.
func (s *slotStore) read(ctx context.Context) (*slotsDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	document := &slotsDocument{}
	entry, err := s.config.Store.Get(ctx, slotsKey)
	absent := (*storer.Absent)(nil)
	switch {
	case errors.As(err, &absent):
		s.revision = 0
	case err != nil:
		s.retryAt = s.config.Now().Add(storeBackoff)
		return nil, err
	default:
		s.revision = entry.Revision
		if err := json.Unmarshal(entry.Value, document); err != nil {
			return nil, &Unreadable{
				Key:   slotsKey,
				Cause: err,
			}
		}
	}
	for len(document.Slots) < s.count {
		document.Slots = append(document.Slots, floatingSlot{
			Name: fmt.Sprintf("floating/%d", len(document.Slots)),
		})
	}
	return document, nil
}

// write replaces the document that was read. After an error the write may still have taken
// effect; the next read shows the result.
func (s *slotStore) write(ctx context.Context, document *slotsDocument) error {
	s.writes++
	document.Write = fmt.Sprintf("%s/%d/%d", s.config.Self.Name, s.config.Self.Incarnation, s.writes)
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.config.Store.Swap(ctx, storer.Swap{
		Key:      slotsKey,
		Value:    value,
		Expected: s.revision,
	})
	if conflict := (*storer.Conflict)(nil); err != nil && !errors.As(err, &conflict) {
		s.retryAt = s.config.Now().Add(storeBackoff)
	}
	s.revision = entry.Revision
	return err
}
