package prover_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/prover"
)

// TestNonIdempotentCallsRunAtMostOnce guards against running a call twice. It
// retries calls under their idempotency keys at random instances, while
// instances are killed and services break connections before and after the
// call took effect. The services' own journals show how often each call ran.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	const callers, calls = 8, 40
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{})
	site := fixture.Site
	for _, service := range site.Services {
		for _, kind := range []faulter.Kind{faulter.Cut, faulter.Lost} {
			is.NoErr(site.Post(ctx, service.Callers, "/control/fault", faulter.Fault{
				Kind:  kind,
				Count: -1,
				Each:  7,
			}))
		}
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	refused := map[string]bool{}
	done := map[string]bool{}
	for c := range callers {
		random := rand.New(rand.NewPCG(11, uint64(c)))
		group.Go(func() {
			for n := range calls {
				key := fmt.Sprintf("return-%d-%d", c, n)
				last := ""
				for range 3 {
					instance := site.Instances[random.IntN(len(site.Instances))]
					answer := fixture.Caller(instance).Post(ctx, prover.Path+"returns", key, []byte(key))
					last = answer.Outcome
					if answer.Complete {
						mutex.Lock()
						done[key] = true
						mutex.Unlock()
						break
					}
				}
				mutex.Lock()
				refused[key] = last == "notrun" && !done[key]
				mutex.Unlock()
			}
		})
	}
	for k := range 4 {
		victim := site.Instances[k]
		time.Sleep(300 * time.Millisecond)
		victim.Kill()
		is.NoErr(victim.Restart())
	}
	group.Wait()

	ran := map[string]int{}
	for _, service := range site.Services {
		var journal recorder.Journal[servicer.Call]
		is.NoErr(site.Read(ctx, service.Callers, "/control/journal", &journal))
		is.Equal(journal.Dropped, 0)
		for _, call := range journal.Entries {
			ran[call.Key]++
		}
	}
	for key, count := range ran {
		if count > 1 {
			t.Errorf("call %s ran %d times", key, count)
		}
	}
	for key := range done {
		if ran[key] != 1 {
			t.Errorf("call %s was answered as done but ran %d times", key, ran[key])
		}
	}
	if len(done) < callers*calls/3 {
		t.Errorf("only %d of %d calls succeeded: too few to test retries", len(done), callers*calls)
	}
}
