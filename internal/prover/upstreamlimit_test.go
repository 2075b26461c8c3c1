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
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
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

// TestEnginesGetNoMoreThanTheLimitsThatTheyState streams completions through all instances at several times the limit that
// the engines state, while every third stream breaks and is resumed: a resumed stream counts as a request.
func TestEnginesGetNoMoreThanTheLimitsThatTheyState(t *testing.T) {
	is := is.New(t)
	const rate, span = 8.0, 8 * time.Second
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger"},
		Rate:   1e6,
		Burst:  1e6,
	})
	site := fixture.Site
	complete := func(k, n int) prover.Answer {
		return fixture.Caller(site.Instances[k]).Complete(ctx, prover.CompletionRequest{
			Model:    "ledger",
			Prompt:   strconv.Itoa(k) + "-" + strconv.Itoa(n),
			Tokens:   10,
			Stream:   true,
			Deadline: time.Now().Add(time.Second),
		})
	}
	for k := range site.Instances {
		for n := 0; !complete(k, n).Complete; n++ { // the model is loaded first
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, engine := range site.Engines {
		for _, fault := range []faulter.Fault{
			{Kind: faulter.Limit, Count: -1, Rate: rate},
			{Kind: faulter.Lost, Count: -1, Each: 3, After: 5},
		} {
			is.NoErr(site.Post(ctx, engine.Callers, "/control/fault", fault))
		}
	}
	arrivals := func(engine *starter.Process) (count, resumed int) {
		var journal recorder.Journal[runner.Request]
		is.NoErr(site.Read(ctx, engine.Callers, "/control/journal", &journal))
		for _, request := range journal.Entries {
			if request.Resumed {
				resumed++
			}
		}
		return len(journal.Entries), resumed
	}
	for k := range site.Instances {
		complete(k, 1000) // every instance knows the limit
	}
	before := map[string]int{}
	for _, engine := range site.Engines {
		before[engine.Name], _ = arrivals(engine)
	}
	var group sync.WaitGroup
	var done, refused, unknown atomic.Int64
	end := time.Now().Add(span)
	for k := range site.Instances {
		for c := range 4 {
			group.Go(func() {
				for n := 2000 * (c + 1); time.Now().Before(end); n++ {
					switch answer := complete(k, n); {
					case answer.Complete:
						done.Add(1)
					case answer.Outcome == "notrun" && answer.RetryAfter != "":
						refused.Add(1)
						time.Sleep(20 * time.Millisecond)
					default:
						unknown.Add(1)
					}
				}
			})
		}
	}
	group.Wait()
	elapsed := time.Since(end.Add(-span))
	t.Logf("done=%d refused=%d unknown=%d", done.Load(), refused.Load(), unknown.Load())
	is.True(unknown.Load() <= done.Load()/10) // sent in time to be answered
	for _, engine := range site.Engines {
		count, resumed := arrivals(engine)
		count -= before[engine.Name]
		t.Logf("engine=%s requests=%d resumed=%d", engine.Name, count, resumed)
		is.True(resumed > 0)
		is.True(float64(count) <= 1.5*rate*elapsed.Seconds()+5)
		is.True(float64(count) >= 0.6*rate*span.Seconds())
	}
}
