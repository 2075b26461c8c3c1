package prover_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/prover"
)

// TestWaitingRequestsAreServedOrRefusedInTime guards against requests that are
// dropped while they wait for a load. It requests a cold model with deadlines
// of which the load can meet only some, and meanwhile kills an instance that may
// hold the placement duty of its failure domain. Every request must get an
// answer, and a refusal must state the error code and that the request was not
// run, unless its deadline passed while an engine ran it.
func TestWaitingRequestsAreServedOrRefusedInTime(t *testing.T) {
	config := twoDomains()
	config.Weights = []string{"--speed=4000000000"}
	ctx, fixture := prepare(t, config, prover.Setup{
		Models: []string{"ledger"},
	})
	site := fixture.Site
	var group sync.WaitGroup
	answers := make([]prover.Answer, 60)
	for k := range answers {
		deadline := time.Now().Add(time.Duration(200+k*100) * time.Millisecond)
		instance := site.Instances[1+k%3]
		group.Go(func() {
			answers[k] = fixture.Caller(instance).Complete(ctx, prover.CompletionRequest{
				Model:    "ledger",
				Prompt:   fmt.Sprintf("balance %d", k),
				Tokens:   4,
				Deadline: deadline,
			})
		})
	}
	time.Sleep(300 * time.Millisecond)
	site.Instances[0].Kill()
	group.Wait()
	served := 0
	for k, answer := range answers {
		switch {
		case answer.Complete:
			served++
		case answer.Status == 0:
			t.Errorf("request %d got no response", k)
		case answer.Code == "deadline" && answer.Outcome == "unknown":
			// The request reached an engine in time, and its deadline passed while the engine ran it.
		case answer.Outcome != "notrun" || answer.Code == "":
			t.Errorf("request %d: status=%d code=%q outcome=%q", k, answer.Status, answer.Code, answer.Outcome)
		}
	}
	t.Logf("served=%d refused=%d", served, len(answers)-served)
}
