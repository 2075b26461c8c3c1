package router_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/router"
)

func TestRetriesAreLimitedToAFractionOfRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	r := f.router()
	retries := 0
	for range 1000 {
		choice, ok := r.Pick(need)
		is.True(ok)
		choice.Done(router.Good)
		for r.TakeRetry() {
			retries++
		}
	}
	is.True(retries <= 110)
	is.True(retries >= 100)
}
