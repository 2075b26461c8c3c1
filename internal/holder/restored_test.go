package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestHolderResumesItsTermInARestoredStore guards against a duty that changes its epoch, and so loses its state, although the
// copy of the store has the holder's lock.
func TestHolderResumesItsTermInARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestDomain(3, 1, protections{})
		defer s.stop()
		time.Sleep(20 * time.Second)
		holder := s.byName(s.holders()[0])
		before, _ := holder.holder.Term(testDuty)
		for range 5 {
			saved := s.store.copy()
			time.Sleep(8 * time.Second)
			s.store.restore(saved)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				is.Equal(s.holders(), []string{holder.name})
			}
		}
		after, _ := holder.holder.Term(testDuty)
		is.Equal(after.Epoch(), before.Epoch())
	})
}

// TestFirstHolderNeedsNoWait guards against a site whose duties have no holder for the length of a lease when it starts for the
// first time, because a store that has been restored before could have lacked their records.
func TestFirstHolderNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestDomain(0, 1, protections{})
		defer s.stop()
		s.store.restore(s.store.copy())
		s.founding = true
		for i := range 3 {
			s.put(s.start(i, 1))
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(s.holders()), 1)
		empty := s.store.copy()
		empty.entries, empty.leases = nil, nil
		for _, n := range s.all() {
			n.kill()
		}
		s.store.restore(empty)
		s.founding = false
		for i := range 3 {
			s.put(s.start(i, 2))
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(s.holders()), 0) // the former holder is unknown
	})
}
