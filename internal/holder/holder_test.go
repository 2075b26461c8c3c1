package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestDutyIsHeldKnownAndTakenOver guards the life cycle of a duty: one instance holds it and all
// know the owner; after a crash and after a graceful handover another one takes it over soon.
func TestDutyIsHeldKnownAndTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestDomain(4, 1, protections{})
		defer s.stop()
		time.Sleep(5 * time.Second)
		first := s.holders()
		is.Equal(len(first), 1)
		for _, n := range s.all() {
			owner, ok := n.holder.Owner(testDuty)
			is.True(ok)
			is.Equal(owner.Peer.Name, first[0])
			is.Equal(owner.Epoch, uint64(1))
		}
		time.Sleep(time.Minute)
		is.Equal(s.holders(), first)
		s.byName(first[0]).kill()
		time.Sleep(9 * time.Second)
		second := s.holders()
		is.Equal(len(second), 1) // after a crash the duty is vacant for little more than the lease
		is.True(second[0] != first[0])

		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		is.NoErr(s.byName(second[0]).holder.Leave(ctx))
		time.Sleep(2 * time.Second)
		third := s.holders()
		is.Equal(len(third), 1) // a handover takes about the margin
		is.True(third[0] != second[0])
		_, _, found := firstViolation(s.acts)
		is.True(!found)
	})
}

// TestDutyOutlastsAnOutageOfTheStore guards against a duty that is lost because the store is
// unreachable for ten minutes or a witness dies meanwhile: the witnesses extend the term.
func TestDutyOutlastsAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestDomain(4, 1, protections{})
		defer s.stop()
		time.Sleep(20 * time.Second)
		first := s.holders()
		is.Equal(len(first), 1)
		s.store.outage("", true)
		for range 600 {
			time.Sleep(time.Second)
			is.Equal(s.holders(), first)
		}
		// The death of a witness does not end the term.
		for _, n := range s.all() {
			if n.name != first[0] {
				n.kill()
				break
			}
		}
		for range 60 {
			time.Sleep(time.Second)
			is.Equal(s.holders(), first)
		}
		s.store.outage("", false)
		for range 60 {
			time.Sleep(time.Second)
			is.Equal(s.holders(), first) // the holder claims again without a gap
		}
		term, _ := s.byName(first[0]).holder.Term(testDuty)
		is.Equal(term.Epoch(), uint64(2))
	})
}

// TestCheckerFindsDoubleHolders checks the invariant checker that the other tests rely on.
func TestCheckerFindsDoubleHolders(t *testing.T) {
	is := is.New(t)
	_, _, found := firstViolation([]act{{
		epoch:  1,
		holder: "a",
	}, {
		epoch:  1,
		holder: "a",
	}, {
		epoch:  2,
		holder: "b",
	}})
	is.True(!found)
	_, _, found = firstViolation([]act{{
		epoch:  1,
		holder: "a",
	}, {
		epoch:  2,
		holder: "b",
	}, {
		epoch:  1,
		holder: "a",
	}})
	is.True(found) // a former holder acts after its successor
	_, _, found = firstViolation([]act{{
		epoch:  2,
		holder: "a",
	}, {
		epoch:  2,
		holder: "b",
	}})
	is.True(found) // two holders use one epoch
}
