package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// storeTimeout limits one call to the store by a holder. It is short, so that orders
	// within the allowances are still sent well before they expire.
	storeTimeout = 300 * time.Millisecond
	// claimTimeout limits one call to the store by an instance that takes over the duty.
	claimTimeout = 2 * time.Second
	// storeBackoff is the time between attempts while the store is unreachable.
	storeBackoff = time.Second
	// recentWrites is how many IDs of own writes are kept to recognize those that take effect
	// late.
	recentWrites = 16
)

// ledgerStore reads and writes a group's ledger in the store.
type ledgerStore struct {
	config *Config
	key    string
	// revision is the stored revision, which the next write expects.
	revision storer.Revision
	// writes is the number of writes, for their IDs.
	writes uint64
	// recent are the IDs of the last own writes.
	recent  []string
	retryAt time.Time
}

func newLedgerStore(config *Config, key string) *ledgerStore {
	return &ledgerStore{
		config: config,
		key:    key,
	}
}

// backingOff reports whether the store is not called because a recent call failed.
func (s *ledgerStore) backingOff() bool { return s.config.Now().Before(s.retryAt) }

// claim reads the ledger and writes it back under a new epoch.
func (s *ledgerStore) claim(ctx context.Context, epoch uint64) (*Ledger, error) {
	if s.backingOff() {
		return nil, &StoreBackoff{
			Key: s.key,
		}
	}
	ledger, err := s.read(ctx, claimTimeout)
	if err != nil {
		return nil, err
	}
	if ledger.Epoch > epoch {
		return nil, &Superseded{
			Key:   s.key,
			Epoch: ledger.Epoch,
		}
	}
	ledger.Epoch = epoch
	if err := s.save(ctx, ledger, claimTimeout); err != nil {
		return nil, err
	}
	return ledger, nil
}

// read returns the stored ledger, or an empty one, and remembers its revision.
func (s *ledgerStore) read(ctx context.Context, timeout time.Duration) (*Ledger, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entry, err := s.config.Store.Get(ctx, s.key)
	if absent := (*storer.Absent)(nil); errors.As(err, &absent) {
		s.revision = 0
		return &Ledger{}, nil
	}
	if err != nil {
		return nil, s.backOff(err)
	}
	var ledger Ledger
	if err := json.Unmarshal(entry.Value, &ledger); err != nil {
		return nil, &Unreadable{
			Key:   s.key,
			Cause: err,
		}
	}
	s.revision = entry.Revision
	return &ledger, nil
}

// backOff suspends calls to the store after it was unavailable, and returns the error.
func (s *ledgerStore) backOff(err error) error {
	s.retryAt = s.config.Now().Add(storeBackoff)
	return err
}

// save writes the ledger. If it returns an error, the write may still take effect later,
// but only if no other write of this ledgerStore has taken effect since the revision was
// read.
func (s *ledgerStore) save(ctx context.Context, ledger *Ledger, timeout time.Duration) error {
	s.writes++
	ledger.Write = fmt.Sprintf("%s/%d/%d", s.config.Self.Name, s.config.Self.Incarnation, s.writes)
	s.recent = append(s.recent, ledger.Write)
	if len(s.recent) > recentWrites {
		s.recent = s.recent[1:]
	}
	value, err := json.Marshal(ledger)
	if err != nil {
		return err
	}
	called, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entry, err := s.config.Store.Swap(called, storer.Swap{
		Key:      s.key,
		Value:    value,
		Expected: s.revision,
	})
	if err == nil {
		s.revision = entry.Revision
		return nil
	}
	return s.resolve(ctx, ledger, timeout, err)
}

// resolve reads the ledger back after a write that found another revision or whose outcome
// is unknown. It returns nil if the write took effect, Superseded if another holder has
// written, and the original error otherwise.
func (s *ledgerStore) resolve(ctx context.Context, ledger *Ledger, timeout time.Duration, cause error) error {
	stored, err := s.read(ctx, timeout)
	if err != nil {
		return s.backOff(cause)
	}
	if stored.Write == ledger.Write {
		return nil
	}
	if stored.Epoch > ledger.Epoch {
		return &Superseded{
			Key:   s.key,
			Epoch: stored.Epoch,
		}
	}
	if stored.Epoch == ledger.Epoch && !slices.Contains(s.recent, stored.Write) {
		return &Superseded{
			Key:   s.key,
			Epoch: stored.Epoch,
		}
	}
	return cause
}
