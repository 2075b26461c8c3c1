package limiter

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// TestReserveWithoutHolder checks that instances can spend their reserves, and nothing else, while the store
// is unreachable and nobody holds the duty.
func TestReserveWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7, 1, 3, nil)
		f.setTeam("team", 1000, 3000)
		f.elect()
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			n.request("team", 10, 10, 0)
		}
		f.mu.Lock()
		f.outage = true
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		delete(f.terms, "d0")
		f.mu.Unlock()
		time.Sleep(time.Minute)
		before, _ := f.totals("team")
		for range 600 {
			for _, n := range f.nodes {
				go n.request("team", 50, 50, 0)
			}
			time.Sleep(100 * time.Millisecond)
		}
		after, _ := f.totals("team")
		rate := (after - before) / 60
		is.True(rate > 190) // reserves are a fifth of the rate, and start full
		is.True(rate < 215)
		f.stop()
	})
}

// TestReturnBudget checks that an instance that shuts down returns its loans, admits nothing more and is removed
// from the members.
func TestReturnBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7, 1, 3, nil)
		f.setTeam("team", 1000, 3000)
		go f.keepElecting()
		time.Sleep(time.Second)
		f.mu.Lock()
		holder := f.nodes[f.terms["d0"].name]
		f.mu.Unlock()
		n := f.node("d0-0")
		if n == holder {
			n = f.node("d0-1")
		}
		for range 50 {
			n.request("team", 50, 50, 0)
			time.Sleep(100 * time.Millisecond)
		}
		loan := n.limiter.Dump().(State).Teams[0].Loan
		is.True(loan > 0)
		n.limiter.ReturnBudget(context.Background())
		state := n.limiter.Dump().(State).Teams[0]
		is.Equal(state.Loan, 0.0)
		is.True(!state.ReserveActive)
		_, err := n.limiter.Reserve(context.Background(), Request{
			Team:   "team",
			Tokens: 1,
		})
		var refusal *refuser.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Code, refuser.CodeStopping)
		time.Sleep(time.Second)
		duty := holder.limiter.Dump().(State).Duties[0]
		_, member := duty.Members[n.name]
		is.True(!member)
		f.stop()
	})
}
