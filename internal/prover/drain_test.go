package prover_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/prover"
)

// TestGracefulShutdownCutsNoRequest sends SIGTERM to an instance that serves
// 32 streams: all must complete, and the process must exit cleanly.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger"},
	})
	leaving := fixture.Site.Instances[1]
	caller := fixture.Caller(leaving)
	warm := prover.CompletionRequest{
		Model:  "ledger",
		Prompt: "warm",
		Tokens: 1,
	}
	first := caller.Complete(ctx, warm)
	is.True(first.Matches(prover.Checkpoint("ledger"), warm))

	var group sync.WaitGroup
	answers := make([]prover.Answer, 32)
	requests := make([]prover.CompletionRequest, len(answers))
	for k := range answers {
		requests[k] = prover.CompletionRequest{
			Model:  "ledger",
			Prompt: fmt.Sprintf("stream %d", k),
			Tokens: 800,
			Stream: true,
		}
		group.Go(func() { answers[k] = caller.Complete(ctx, requests[k]) })
	}
	time.Sleep(100 * time.Millisecond)
	leaving.Terminate()
	group.Wait()
	for k := range answers {
		if !answers[k].Matches(prover.Checkpoint("ledger"), requests[k]) {
			t.Errorf("stream %d is incomplete or wrong: status=%d code=%s", k, answers[k].Status, answers[k].Code)
		}
	}
	is.NoErr(leaving.AwaitExit(waitTimeout))
	other := fixture.Caller(fixture.Site.Instances[0]).Complete(ctx, warm)
	is.True(other.Matches(prover.Checkpoint("ledger"), warm))
}
