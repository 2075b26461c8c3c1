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
	warm := prover.Question{
		Model:  "ledger",
		Prompt: "warm",
		Tokens: 1,
	}
	first := caller.Ask(ctx, warm)
	is.True(first.Right(prover.Checkpoint("ledger"), warm))

	var group sync.WaitGroup
	answers := make([]prover.Answer, 32)
	questions := make([]prover.Question, len(answers))
	for k := range answers {
		questions[k] = prover.Question{
			Model:  "ledger",
			Prompt: fmt.Sprintf("stream %d", k),
			Tokens: 800,
			Stream: true,
		}
		group.Go(func() { answers[k] = caller.Ask(ctx, questions[k]) })
	}
	time.Sleep(100 * time.Millisecond)
	leaving.Terminate()
	group.Wait()
	for k := range answers {
		if !answers[k].Right(prover.Checkpoint("ledger"), questions[k]) {
			t.Errorf("stream %d is incomplete or wrong: status=%d code=%s", k, answers[k].Status, answers[k].Code)
		}
	}
	is.NoErr(leaving.Exit(patience))
	other := fixture.Caller(fixture.Site.Instances[0]).Ask(ctx, warm)
	is.True(other.Right(prover.Checkpoint("ledger"), warm))
}
