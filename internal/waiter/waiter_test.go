package waiter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

func TestPauseEndsWithTheTimeOrTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		is.True(waiter.Pause(t.Context(), time.Minute))
		is.Equal(time.Since(began), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!waiter.Pause(ctx, time.Minute))
		is.Equal(time.Since(began), time.Minute+time.Second)
	})
}

func TestPollEndsWithTheConditionOrTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		checks := 0
		third := func() bool {
			checks++
			return checks == 3
		}
		is.True(waiter.Poll(t.Context(), time.Minute, third))
		is.Equal(time.Since(began), 2*time.Minute) // the first check is immediate
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!waiter.Poll(ctx, time.Minute, func() bool { return false }))
		is.Equal(time.Since(began), 2*time.Minute+time.Second)
	})
}
