package holder

import (
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Term is one holding of a duty by this instance. Copies share their state.
type Term struct {
	state *termState
}

// Fence returns the term's fencing token and its check.
func (t Term) Fence() Fence {
	return Fence{
		Epoch: t.Epoch(),
		Check: t.Check,
	}
}

// termState is the state shared by all copies of a Term. ended is the error of a term that is over,
// and mark detects freezes since before the last successful renewal.
type termState struct {
	duty   string
	epoch  uint64
	config Config

	lock     sync.Mutex
	lease    storer.LeaseID
	deadline time.Time
	mark     tracker.Mark
	ended    error
}

// Duty is the duty's name.
func (t Term) Duty() string { return t.state.duty }

// Epoch is the fencing token. It increases with every holding of the duty.
func (t Term) Epoch() uint64 { return t.state.epoch }

// Deadline is the end of the term unless it is renewed. An order issued after Check must not take
// effect later than the deadline as it was at Check.
func (t Term) Deadline() time.Time {
	t.state.lock.Lock()
	defer t.state.lock.Unlock()
	return t.state.deadline
}

// Check returns nil if the holder may act now, otherwise *Expired, *Frozen or *Superseded. It must
// be called immediately before every act.
func (t Term) Check() error { return t.state.check() }

func (s *termState) check() error {
	s.lock.Lock()
	mark := s.mark
	s.lock.Unlock()
	frozen := mark.Frozen() && !s.config.disabled.freezeDetection
	now := s.config.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.expired(now) {
		return s.ended
	}
	if frozen && s.mark == mark {
		return &Frozen{
			Duty:  s.duty,
			Epoch: s.epoch,
		}
	}
	return nil
}

// leaseID returns the ID of the lease in the store.
func (s *termState) leaseID() storer.LeaseID {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lease
}

// setLease replaces the ID of the lease.
func (s *termState) setLease(id storer.LeaseID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lease = id
}

// expired reports whether the term is over. A passed deadline ends it permanently. The lock must be
// held.
func (s *termState) expired(now time.Time) bool {
	if s.ended == nil && !now.Before(s.deadline) {
		s.ended = &Expired{
			Duty:     s.duty,
			Epoch:    s.epoch,
			Deadline: s.deadline,
		}
	}
	return s.ended != nil
}

// extend moves the deadline and reports whether it did. It does not if the term has ended, or if
// the process was frozen since before the request, which the mark detects.
func (s *termState) extend(deadline time.Time, mark tracker.Mark) bool {
	frozen := mark.Frozen() && !s.config.disabled.freezeDetection
	now := s.config.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.expired(now) || frozen {
		return false
	}
	if deadline.After(s.deadline) {
		s.deadline = deadline
	}
	s.mark = mark
	return true
}

// end ends the term and returns for how long an act checked before may still take effect.
func (s *termState) end(by uint64, now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.expired(now) {
		s.ended = &Superseded{
			Duty:  s.duty,
			Epoch: s.epoch,
			By:    by,
		}
	}
	return max(0, s.deadline.Sub(now))
}

// frozen reports whether the process was frozen since the last renewal.
func (s *termState) frozen() bool {
	s.lock.Lock()
	mark := s.mark
	s.lock.Unlock()
	return mark.Frozen() && !s.config.disabled.freezeDetection
}

// remaining is the time until the deadline.
func (s *termState) remaining(now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.deadline.Sub(now)
}
