package limiter

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestHolderThatMayNotActForAMomentKeepsItsPools makes the check of the holder's term fail for half a second,
// as after a freeze until the lease is renewed. The pools must survive this. When the term disappears for the
// same time, the pools are lost and requests are refused.
func TestHolderThatMayNotActForAMomentKeepsItsPools(t *testing.T) {
	for name, test := range map[string]struct {
		set   func(n *node, on bool)
		keeps bool
	}{
		"check refuses": {
			set:   func(n *node, on bool) { n.stalled = on },
			keeps: true,
		},
		"term is gone": {
			set: func(n *node, on bool) { n.hidden = on },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				refused, over := stall(test.set)
				t.Logf("refused=%d", refused)
				is.True(over <= tolerance)
				is.Equal(refused == 0, test.keeps)
			})
		})
	}
}

// stall serves three quarters of a team's rate in one domain, interrupts the holder's term for half a second,
// and returns how many requests were refused and by how much the team exceeded its limit.
func stall(set func(n *node, on bool)) (refused int64, over float64) {
	f := newFleet(1, 1, 3, nil)
	f.setTeam("crates", 400, 1500)
	go f.keepElecting()
	time.Sleep(20 * time.Second)
	var group sync.WaitGroup
	var count atomic.Int64
	for i := range 300 {
		node := f.node("d0-" + strconv.Itoa(i%3))
		group.Go(func() {
			if !node.request("crates", 12, 12, 10*time.Millisecond) {
				count.Add(1)
			}
		})
		if i == 100 || i == 112 {
			f.mu.Lock()
			holderName := f.terms["d0"].name
			f.mu.Unlock()
			holder := f.node(holderName)
			holder.mu.Lock()
			set(holder, i == 100)
			holder.mu.Unlock()
		}
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	_, audit := f.worst()
	f.stop()
	return count.Load(), audit.Over
}
