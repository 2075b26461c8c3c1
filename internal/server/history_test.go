package server_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// callRecord is the result of one call as its caller received it.
type callRecord struct {
	key     string
	outcome refuser.Outcome
	// ownAnswer is set if the answer was complete and belonged to this call.
	ownAnswer bool
}

// violations counts the violations in a history of calls that must run at most once: calls that ran twice, that ran
// although they were reported as not run, that got a broken or another call's answer, and that were reported done but
// never ran.
type violations struct {
	ranTwice, falseNotRun, foreignAnswers, doneWithoutRun int
}

// countViolations compares the outcomes that callers received with how often each call ran by the services' journals.
func countViolations(records []callRecord, ran map[string]int) violations {
	v := violations{}
	done, unknown := map[string]bool{}, map[string]bool{}
	for _, r := range records {
		switch r.outcome {
		case refuser.Done:
			done[r.key] = true
			if !r.ownAnswer {
				v.foreignAnswers++
			}
		case refuser.NotRun:
		case refuser.Unknown:
			unknown[r.key] = true
		}
	}
	for _, count := range ran {
		if count > 1 {
			v.ranTwice++
		}
	}
	for _, r := range records {
		if r.outcome == refuser.Done && ran[r.key] == 0 {
			v.doneWithoutRun++
		}
		// Every call with this key was reported as not run.
		if r.outcome == refuser.NotRun && !done[r.key] && !unknown[r.key] && ran[r.key] > 0 {
			v.falseNotRun++
		}
	}
	return v
}

func TestCountViolationsFindsEachKind(t *testing.T) {
	is := is.New(t)
	v := countViolations([]callRecord{
		{
			key:       "a",
			outcome:   refuser.Done,
			ownAnswer: true,
		},
		{
			key:     "b",
			outcome: refuser.NotRun,
		},
		{
			key:     "c",
			outcome: refuser.Done,
		},
		{
			key:       "d",
			outcome:   refuser.Done,
			ownAnswer: true,
		},
	}, map[string]int{"a": 2, "b": 1, "c": 1})
	is.Equal(v, violations{
		ranTwice:       1,
		falseNotRun:    1,
		foreignAnswers: 1,
		doneWithoutRun: 1,
	})
}

// injectServiceFaults makes every service fail repeatedly, with each kind of fault at every 5th to 12th call.
func injectServiceFaults(f *fixture, random *rand.Rand) {
	for _, service := range f.services {
		for _, kind := range []faulter.Kind{faulter.Cut, faulter.Lost, faulter.Refuse, faulter.Crossed} {
			service.Faults().Set(faulter.Fault{
				Kind:  kind,
				Count: -1,
				Each:  5 + random.IntN(8),
			})
		}
	}
}

// runHistory sends calls that must run at most once from several callers while the services fail. Some calls are
// repeated by other callers with the same idempotency key.
func runHistory(t *testing.T, seed uint64, calls int, forward forwarder.Config) (violations, map[refuser.Outcome]int) {
	f := newFixture(t, fixtureConfig{
		services: 3,
		forward:  forward,
	})
	injectServiceFaults(f, rand.New(rand.NewPCG(seed, 1)))
	const callers = 16
	records := make([][]callRecord, callers)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := range calls / callers {
				key := fmt.Sprintf("%d-%d", caller, n)
				if random.IntN(4) == 0 {
					key = fmt.Sprintf("%d-%d", random.IntN(callers), n)
				}
				records[caller] = append(records[caller], f.callOnce(key))
			}
		})
	}
	group.Wait()
	ran := map[string]int{}
	for _, service := range f.services {
		for _, call := range service.Calls() {
			ran[call.Key]++
		}
	}
	var all []callRecord
	outcomes := map[refuser.Outcome]int{}
	for _, part := range records {
		all = append(all, part...)
	}
	for _, r := range all {
		outcomes[r.outcome]++
	}
	return countViolations(all, ran), outcomes
}

// callOnce posts a call whose body and idempotency key are key.
func (f *fixture) callOnce(key string) callRecord {
	answer := f.send("POST", "/crates/returns", key, "Idempotency-Key", key)
	defer answer.Body.Close()
	r := callRecord{
		key: key,
	}
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		r.outcome = refuser.Unknown
		return r
	}
	if answer.StatusCode != http.StatusOK {
		var refusal errorResponse
		_ = json.Unmarshal(data, &refusal)
		r.outcome = refusal.Error.Outcome
		return r
	}
	var a servicer.Answer
	_ = json.Unmarshal(data, &a)
	r.outcome = refuser.Done
	r.ownAnswer = a.Check == servicer.Sum("POST", "/crates/returns", []byte(key))
	return r
}

func TestCallsThatMustRunOnceNeverRunTwice(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		is := is.New(t)
		v, outcomes := runHistory(t, seed, 5008, forwarder.Config{})
		t.Logf("seed=%d done=%d notrun=%d unknown=%d", seed, outcomes[refuser.Done], outcomes[refuser.NotRun], outcomes[refuser.Unknown])
		is.Equal(v, violations{})
		is.True(outcomes[refuser.Done] > 1000)
		is.True(outcomes[refuser.Unknown] > 100)
	}
}

func TestHistoryDetectsResends(t *testing.T) {
	is := is.New(t)
	v, _ := runHistory(t, 1, 2000, forwarder.Config{
		AllowResend: true,
	})
	is.True(v.ranTwice > 0) // with AllowResend, calls are sent again and run twice
}

func TestCallersGetTheWholeAnswerToTheirOwnRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		engines: 3,
	})
	random := rand.New(rand.NewPCG(3, 1))
	for _, engine := range f.engines {
		for _, kind := range []faulter.Kind{faulter.Cut, faulter.Lost, faulter.Refuse, faulter.Crossed, faulter.Fail} {
			engine.Faults().Set(faulter.Fault{
				Kind:  kind,
				Count: -1,
				Each:  5 + random.IntN(8),
				After: random.IntN(6),
			})
		}
	}
	var mu sync.Mutex
	outcomes := map[string]int{}
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for n := range 100 {
				outcome := f.classifyAnswer(fmt.Sprintf("%d-%d", caller, n), n%2 == 0)
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("outcomes %v", outcomes)
	is.Equal(outcomes["foreign"], 0)
	is.Equal(outcomes["hidden"], 0)
	is.True(outcomes["whole"] > 500)
}

// classifyAnswer requests 10 tokens and classifies the response: "whole" is the complete answer to this request,
// "failed" is a visible failure. "hidden" (a failure that the caller cannot see) and "foreign" (another request's
// answer) are violations.
func (f *fixture) classifyAnswer(prompt string, stream bool) string {
	answer := f.send("POST", "/v1/completions", fmt.Sprintf(`{"model":"ledger","prompt":%q,"max_tokens":10,"stream":%t}`, prompt, stream))
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	want := runner.Text(checkpoint, prompt, 10)
	switch failed := strings.Contains(string(data), `"error":`); {
	case answer.StatusCode != http.StatusOK || failed:
		if failed && (err != nil || answer.StatusCode != http.StatusOK) && strings.HasPrefix(want, streamText(string(data))) {
			return "failed"
		}
		return "hidden"
	case err != nil:
		return "hidden"
	case stream && streamText(string(data)) == want && strings.HasSuffix(string(data), "data: [DONE]\n\n"):
		return "whole"
	case !stream && strings.Contains(string(data), want):
		return "whole"
	default:
		return "foreign"
	}
}
