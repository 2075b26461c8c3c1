package limiter

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestOpenReservationsDoNotBlockTransfers sends all of a team's requests, within its rate, to one of three domains.
// Each reservation stays open for seconds, like that of a request that waits for a model to be loaded. None may be
// refused: open reservations must not prevent transfers from the other domains.
func TestOpenReservationsDoNotBlockTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 3, 2, nil)
		f.setTeam("crates", 400, 1500)
		runElections(f, 5*time.Second)
		var group sync.WaitGroup
		var refused atomic.Int64
		for range 200 { // 60 % of the rate
			group.Add(1)
			go func() {
				defer group.Done()
				if !f.node("d0-0").request("crates", 12, 12, 4*time.Second) {
					refused.Add(1)
				}
			}()
			time.Sleep(50 * time.Millisecond)
			f.elect()
		}
		group.Wait()
		_, audit := f.largestExcess()
		f.stop()
		t.Logf("refused=%d", refused.Load())
		is.True(audit.Over <= tolerance)
		is.Equal(refused.Load(), int64(0))
	})
}
