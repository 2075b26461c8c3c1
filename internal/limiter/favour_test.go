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

// TestInstanceThatStartsInAnOutageSpendsThroughAnother plays the finding of a
// trial: an instance that starts while the store is out is not recorded by the
// holder, refused valid requests with a 429 that was not true, and was ready
// only after 15 s.
func TestInstanceThatStartsInAnOutageSpendsThroughAnother(t *testing.T) {
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
		is.True(!late.limiter.recorded())
		reservation, err := late.limiter.Reserve(context.Background(), Ask{
			Team:   "team",
			Tokens: 100,
		})
		is.NoErr(err)
		reservation.Settle(100)
		f.stop()
	})
}

func TestInstanceWithoutPartSaysSo(t *testing.T) {
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
		_, err := lone.limiter.Reserve(context.Background(), Ask{
			Team:   "team",
			Tokens: 100,
		})
		var refused *refuser.Refusal
		is.True(errors.As(err, &refused))
		is.Equal(refused.Code, refuser.CodeStarting) // not that the team has spent its budget
		is.True(!refused.RetryAt.IsZero())
		f.stop()
	})
}
