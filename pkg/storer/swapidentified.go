package storer

import (
	"context"
	"errors"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// Limits on resolving a swap whose answer was lost. The delay doubles with each
// attempt.
const (
	resolveAttempts = 4
	resolveDelay    = 50 * time.Millisecond
)

// SwapIdentified executes a swap and, if its answer is lost, determines the outcome
// by reading the entry back. The caller puts a unique write ID into the value;
// isOwn reports whether a value that was read contains that ID. If another writer
// may have replaced the value meanwhile, its value must still contain the ID, or
// else isOwn gives the wrong result.
//
// The swap is sent again only after a read found the entry at the expected
// revision. At most one of these swaps can take effect, since each requires that
// revision. The error is *Conflict if the swap did not take effect, and
// *Unavailable if the outcome is still unknown.
func (s *Store) SwapIdentified(ctx context.Context, swap Swap, isOwn func(value []byte) bool) (Entry, error) {
	entry, err := s.Swap(ctx, swap)
	sends := 1
	for attempt := 0; attempt < resolveAttempts && ambiguous(err, sends); attempt++ {
		if !waiter.Pause(ctx, resolveDelay<<attempt) {
			return Entry{}, err
		}
		stored, readErr := s.getOrAbsent(ctx, swap.Key)
		switch {
		case readErr != nil:
			err = readErr
		case stored.Revision != 0 && isOwn(stored.Value):
			return stored, nil
		case stored.Revision > swap.Expected:
			return Entry{}, &Conflict{
				Key:     swap.Key,
				Current: stored.Revision,
			}
		case stored.Revision < swap.Expected:
			// Either the read was stale or the store was rolled back, so the outcome
			// is still unknown.
			err = &Unavailable{
				Operation: "reading back " + swap.Key,
			}
		default:
			sends++
			entry, err = s.Swap(ctx, swap)
		}
	}
	if ambiguous(err, sends) {
		return Entry{}, &Unavailable{
			Operation: "swap of " + swap.Key,
			Cause:     err,
		}
	}
	return entry, err
}

// ambiguous reports whether a swap may have taken effect although it failed, given
// how often it was sent. A conflict of a repeated swap may be caused by its own
// first execution.
func ambiguous(err error, sends int) bool {
	if err == nil {
		return false
	}
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return sends > 1
	}
	var unavailable *Unavailable
	return errors.As(err, &unavailable)
}

// getOrAbsent reads an entry. If the key is absent, it returns an entry with
// revision zero instead of an error.
func (s *Store) getOrAbsent(ctx context.Context, key string) (Entry, error) {
	entry, err := s.Get(ctx, key)
	var absent *Absent
	if errors.As(err, &absent) {
		return Entry{
			Key: key,
		}, nil
	}
	return entry, err
}
