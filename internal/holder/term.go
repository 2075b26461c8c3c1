package holder

import (
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Term is one holding of a duty by this instance.
type Term struct {
	state *termState
}

// Fence is what those who act under a term need of it.
type Fence struct {
	// Epoch is the fencing number.
	Epoch uint64
	// Check returns an error once another instance may hold the duty. It is to be
	// called immediately before each act.
	Check func() error
}

// Fence returns what those who act under the term need.
func (t Term) Fence() Fence {
	return Fence{
		Epoch: t.Epoch(),
		Check: t.Check,
	}
}

// termState is shared by all copies of a Term.
type termState struct {
	duty   string
	epoch  uint64
	config Config
	lease  storer.LeaseID

	lock     sync.Mutex
	deadline time.Time
	mark     tracker.Mark
	ended    error
}

// Duty is the duty's name.
func (t Term) Duty() string { return t.state.duty }

// Epoch is the fencing number. It rises with every holding of the duty.
func (t Term) Epoch() uint64 { return t.state.epoch }

// Deadline is when the term ends unless it is renewed. An order given after
// Check must not take effect later than the deadline that Check left.
func (t Term) Deadline() time.Time {
	t.state.lock.Lock()
	defer t.state.lock.Unlock()
	return t.state.deadline
}

// Check returns nil if the holder may act now, else *Expired, *Frozen or
// *Superseded. It must be called immediately before every act.
func (t Term) Check() error { return t.state.check() }

func (s *termState) check() error {
	s.lock.Lock()
	mark := s.mark
	s.lock.Unlock()
	frozen := mark.Frozen() && !s.config.without.guard
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

// expired notes that the deadline has passed, for ever. The lock must be held.
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

// prolong moves the deadline, unless the term has ended or the process was
// frozen since before the request, which the mark tells.
func (s *termState) prolong(deadline time.Time, mark tracker.Mark) bool {
	frozen := mark.Frozen() && !s.config.without.guard
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

// end ends the term and returns for how long an act that was checked before
// may still take effect.
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

// frozen tells whether the process was frozen since the last renewal.
func (s *termState) frozen() bool {
	s.lock.Lock()
	mark := s.mark
	s.lock.Unlock()
	return mark.Frozen() && !s.config.without.guard
}

// remaining is the time until the deadline.
func (s *termState) remaining(now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.deadline.Sub(now)
}
