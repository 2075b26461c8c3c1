package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRestartedHolderTakesOverItsLock guards against a restarted holder that waits for the lease of
// its previous incarnation to lapse: the duty must be held again well before that.
func TestRestartedHolderTakesOverItsLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestDomain(3, 1, protections{})
		defer s.stop()
		time.Sleep(20 * time.Second)
		holder := s.byName(s.holders()[0])
		holder.kill()
		killed := time.Now()
		time.Sleep(100 * time.Millisecond)
		s.put(s.start(holder.index, 2))
		for len(s.holders()) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("the duty had no holder for %v", time.Since(killed))
		is.True(time.Since(killed) < 3*time.Second)
		is.Equal(s.holders()[0], holder.name)
	})
}
