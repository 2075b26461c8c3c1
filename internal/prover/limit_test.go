package prover_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/prover"
)

// TestNoTeamGetsMoreThanRateAndBurst offers several times a team's rate at all
// instances, while one is frozen, one is killed and restarted, and a failure
// domain is partitioned. The tokens in the engines' journals must stay within
// the rate times the elapsed time, plus the burst.
func TestNoTeamGetsMoreThanRateAndBurst(t *testing.T) {
	is := is.New(t)
	const rate, burst, tokens = 300.0, 600, 10
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger"},
		Rate:   rate,
		Burst:  burst,
	})
	site := fixture.Site
	started := time.Now()
	var stopped atomic.Bool
	var refused, done atomic.Int64
	var group sync.WaitGroup
	for k, instance := range site.Instances {
		for c := range 4 {
			group.Go(func() {
				for n := 0; !stopped.Load(); n++ {
					answer := fixture.Caller(instance).Complete(ctx, prover.CompletionRequest{
						Model:  "ledger",
						Prompt: fmt.Sprint(k, c, n),
						Tokens: tokens,
					})
					switch {
					case answer.Complete:
						done.Add(1)
					case answer.Code == "rate_limited":
						refused.Add(1)
						time.Sleep(5 * time.Millisecond)
					default:
						time.Sleep(5 * time.Millisecond)
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	frozen, killed := site.Instance("a1"), site.Instance("b2")
	frozen.Freeze()
	time.Sleep(3 * time.Second)
	frozen.Thaw()
	killed.Kill()
	time.Sleep(time.Second)
	is.NoErr(killed.Restart())
	is.NoErr(site.Isolate(ctx, "b"))
	time.Sleep(3 * time.Second)
	is.NoErr(site.SetPartitions(ctx))
	time.Sleep(2 * time.Second)
	stopped.Store(true)
	group.Wait()
	elapsed := time.Since(started)

	spent := 0
	for _, engine := range site.Engines {
		var journal recorder.Journal[runner.Request]
		is.NoErr(site.Read(ctx, engine.Callers, "/control/journal", &journal))
		is.Equal(journal.Dropped, 0)
		for _, request := range journal.Entries {
			spent += request.Prompt + request.Tokens
		}
	}
	allowed := rate*elapsed.Seconds() + burst
	t.Logf("spent=%d allowed=%.0f done=%d refused=%d", spent, allowed, done.Load(), refused.Load())
	is.True(float64(spent) <= allowed)
	is.True(refused.Load() > 0)
	is.True(done.Load() > 0)
}
