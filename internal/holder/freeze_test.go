package holder

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestFrozenTermIsRefusedAtOnce guards against acts by a holder whose process was frozen: its term
// refuses them, with the reason, before any loop has run. After a short freeze the term continues
// once renewed; after one beyond the deadline it stays expired.
func TestFrozenTermIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestDomain(3, 1, protections{})
		defer s.stop()
		time.Sleep(20 * time.Second)
		first := s.byName(s.holders()[0])
		term, ok := first.holder.Term(testDuty)
		is.True(ok)
		is.NoErr(term.Check())

		first.freeze(700*time.Millisecond, false)
		var frozen *Frozen
		is.True(errors.As(term.Check(), &frozen)) // the call returns once the process is thawed
		_, ok = first.holder.Term(testDuty)
		is.True(!ok)
		heldTerm, ok := first.holder.Held(testDuty)
		is.True(ok)
		is.Equal(heldTerm.Epoch(), term.Epoch())
		time.Sleep(2 * time.Second)
		is.NoErr(term.Check()) // renewed meanwhile, under the same epoch

		first.freeze(8*time.Second, false)
		var expired *Expired
		is.True(errors.As(term.Check(), &expired))
		_, ok = first.holder.Held(testDuty)
		is.True(!ok)
		time.Sleep(5 * time.Second)
		is.True(term.Check() != nil) // permanently
	})
}
