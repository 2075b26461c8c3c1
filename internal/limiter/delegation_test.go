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

// TestInstanceStartedInOutageSpendsThroughPeer checks that an instance that starts while the store is unreachable
// spends through a peer, since no holder can record it. Without that, it refused valid requests with status 429
// and became ready only after 15 s.
func TestInstanceStartedInOutageSpendsThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7, 1, 2, nil)
		f.setTeam("team", 10_000, 30_000)
		go f.keepElecting()
		time.Sleep(time.Second)
		f.mu.Lock()
		f.outage = true
		f.mu.Unlock()
		late := f.boot("d0-late", "d0")
		time.Sleep(1500 * time.Millisecond)
		is.True(late.limiter.Ready())
		is.True(!late.limiter.registered())
		reservation, err := late.limiter.Reserve(context.Background(), Request{
			Team:   "team",
			Tokens: 100,
		})
		is.NoErr(err)
		reservation.Settle(100)
		f.stop()
	})
}

// TestUnregisteredInstanceRefusesAsStarting checks that an instance that no holder has recorded refuses with
// CodeStarting instead of CodeRate.
func TestUnregisteredInstanceRefusesAsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7, 1, 1, nil)
		f.setTeam("team", 10_000, 30_000)
		f.mu.Lock()
		f.outage = true
		f.mu.Unlock()
		time.Sleep(time.Second)
		lone := f.node("d0-0")
		is.True(!lone.limiter.Ready())
		_, err := lone.limiter.Reserve(context.Background(), Request{
			Team:   "team",
			Tokens: 100,
		})
		var refused *refuser.Refusal
		is.True(errors.As(err, &refused))
		is.Equal(refused.Code, refuser.CodeStarting) // not CodeRate: the team's budget is not spent
		is.True(!refused.RetryAt.IsZero())
		f.stop()
	})
}
