package prover_test

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/prover"
)

// TestPlainServicesGetNoMoreThanTheLimitsThatTheyState calls the plain service through all instances at several times the
// limit that its upstreams state. What they cannot take must be refused as not run, with the time to come back.
func TestPlainServicesGetNoMoreThanTheLimitsThatTheyState(t *testing.T) {
	is := is.New(t)
	const rate = 5.0
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{})
	site := fixture.Site
	for _, service := range site.Services {
		is.NoErr(site.Post(ctx, service.Callers, "/control/fault", faulter.Fault{
			Kind:  faulter.Limit,
			Count: -1,
			Rate:  rate,
		}))
	}
	var stopped atomic.Bool
	var done, unexplained atomic.Int64
	var group sync.WaitGroup
	for k, instance := range site.Instances {
		group.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				key := strconv.Itoa(k) + "-" + strconv.Itoa(n)
				answer := fixture.Caller(instance).Post(ctx, prover.Path+"returns", key, []byte(key))
				switch {
				case answer.Complete:
					done.Add(1)
				case answer.Outcome != "notrun" || answer.RetryAfter == "":
					unexplained.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second) // all instances have sent something and know the limits
	told := time.Now()
	time.Sleep(8 * time.Second)
	stopped.Store(true)
	group.Wait()
	for _, service := range site.Services {
		var journal recorder.Journal[servicer.Call]
		is.NoErr(site.Read(ctx, service.Callers, "/control/journal", &journal))
		var arrivals []time.Time
		for _, call := range journal.Entries {
			if call.At.After(told) {
				arrivals = append(arrivals, call.At)
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		t.Logf("service=%s calls=%d", service.Name, len(arrivals))
		is.True(len(arrivals) >= int(0.6*8*rate)) // the limit is used
		for first, at := range arrivals {
			last := first
			for last < len(arrivals) && arrivals[last].Sub(at) < 4*time.Second {
				last++
			}
			is.True(last-first <= int(1.5*4*rate)+5) // the users' bound
		}
	}
	is.Equal(unexplained.Load(), int64(0))
	is.True(done.Load() > 0)
}
