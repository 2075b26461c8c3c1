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

// TestHolderKeepsPoolsWhileTermCheckFails makes the check of the holder's term fail for half a second, as after a
// pause of the process until the lease is renewed. The holder must keep its pools. If the instance holds no term
// for the same time, the pools are lost and requests are refused.
func TestHolderKeepsPoolsWhileTermCheckFails(t *testing.T) {
	for name, test := range map[string]struct {
		set        func(n *node, on bool)
		keepsPools bool
	}{
		"check refuses": {
			set:        func(n *node, on bool) { n.checkFails = on },
			keepsPools: true,
		},
		"term is gone": {
			set: func(n *node, on bool) { n.termHidden = on },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				refused, over := interruptTerm(test.set)
				t.Logf("refused=%d", refused)
				is.True(over <= tolerance)
				is.Equal(refused == 0, test.keepsPools)
			})
		})
	}
}

// interruptTerm serves three quarters of a team's rate in one domain, interrupts the holder's term for half a second,
// and returns how many requests were refused and by how much the team exceeded its limit.
func interruptTerm(set func(n *node, on bool)) (refused int64, over float64) {
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
	_, audit := f.largestExcess()
	f.stop()
	return count.Load(), audit.Over
}
