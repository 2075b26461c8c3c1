package limiter

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestBurstInOneDomainWaitsForTransfers sends a burst of requests to one of three domains: more than the domain's
// share of the team's burst, but less than the whole. All must wait for transfers from the other domains instead
// of being refused.
func TestBurstInOneDomainWaitsForTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 3, 2, nil)
		f.setTeam("crates", 400, 1500)
		go f.keepElecting()
		time.Sleep(5 * time.Second)
		var group sync.WaitGroup
		var refused atomic.Int64
		for range 60 { // 720 of 1,500 tokens
			group.Go(func() {
				if !f.node("d0-0").request("crates", 12, 12, 10*time.Millisecond) {
					refused.Add(1)
				}
			})
		}
		group.Wait()
		_, audit := f.largestExcess()
		f.stop()
		t.Logf("refused=%d", refused.Load())
		is.True(audit.Over <= tolerance)
		is.Equal(refused.Load(), int64(0))
	})
}
