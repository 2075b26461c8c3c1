package prover_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/prover"
)

// TestEveryCallerGetsTheWholeAnswerToItsOwnRequest guards against truncated and
// mixed-up answers: 200 callers send different requests to all instances at
// once, for models that are cold.
func TestEveryCallerGetsTheWholeAnswerToItsOwnRequest(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger", "router"},
	})
	var group sync.WaitGroup
	answers := make([]prover.Answer, 200)
	requests := make([]prover.CompletionRequest, len(answers))
	for k := range answers {
		requests[k] = prover.CompletionRequest{
			Model:  []string{"ledger", "router"}[k%2],
			Prompt: fmt.Sprintf("Where is crate %d?", k),
			Tokens: 5 + k%20,
			Stream: k%3 > 0,
		}
		group.Go(func() {
			instance := fixture.Site.Instances[k%len(fixture.Site.Instances)]
			answers[k] = fixture.Caller(instance).Complete(ctx, requests[k])
		})
	}
	group.Wait()
	for k := range answers {
		if !answers[k].Matches(prover.Checkpoint(requests[k].Model), requests[k]) {
			t.Errorf("wrong or incomplete answer to request %d: %+v", k, answers[k])
		}
	}
	is.True(len(answers) == 200)
}
