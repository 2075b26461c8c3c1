package limiter

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUrgentRequestsSpendFirst has a large request wait for budget when small urgent requests of the same
// team arrive. The urgent ones must be served first, and the large one afterwards.
func TestUrgentRequestsSpendFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7, 1, 1, nil)
		f.setTeam("crates", 100, 200)
		go f.keepElecting()
		time.Sleep(5 * time.Second)
		n := f.node("d0-0")
		for reserveRanked(n, 30*time.Millisecond, 5, 0) == nil {
			continue
		}
		var group sync.WaitGroup
		var large time.Duration
		var urgent [3]time.Duration
		began := time.Now()
		group.Go(func() {
			is.NoErr(reserveRanked(n, 2*time.Second, 90, 0))
			large = time.Since(began)
		})
		time.Sleep(50 * time.Millisecond)
		for i := range urgent {
			group.Go(func() {
				is.NoErr(reserveRanked(n, 2*time.Second, 5, 2))
				urgent[i] = time.Since(began)
			})
		}
		group.Wait()
		f.stop()
		last := slices.Max(urgent[:])
		t.Logf("large after %v, urgent after %v", large, last)
		is.True(last < 500*time.Millisecond)
		is.True(large > last) // the large request is served too
	})
}

// reserveRanked reserves tokens of the team crates if they become available in the given time.
func reserveRanked(n *node, wait time.Duration, tokens int64, rank int) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := n.limiter.Reserve(ctx, Request{
		Team:   "crates",
		Tokens: tokens,
		Rank:   rank,
	})
	if err == nil {
		r.Settle(tokens)
	}
	return err
}
