package sharemeter

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// requestCost is the number of tokens for which a request is charged when it is settled.
const requestCost = answerTokens + promptWords

// promptWords is the number of words in each prompt, each of which counts as one token.
const promptWords = 3

// load sends the requests of all teams, and injects faults meanwhile.
type load struct {
	fixture   *fixture
	duration  time.Duration
	startedAt time.Time
	elapsed   time.Duration
}

// warmUp loads every team's model in every failure domain.
func (l *load) warmUp(ctx context.Context) error {
	for _, t := range teams() {
		for _, instance := range l.fixture.site.Instances {
			if err := l.warmUpAt(ctx, t, instance); err != nil {
				return err
			}
		}
	}
	// The budgets must be full at the start of the measured time.
	time.Sleep(refillTime)
	return nil
}

const (
	warmUpAttempts   = 100
	refillTime       = 4 * time.Second
	warmUpRetryDelay = 100 * time.Millisecond
)

// warmUpAt sends requests for the team's model to an instance until one is
// answered. Several attempts may be needed, since a cold start can find the
// budget empty.
func (l *load) warmUpAt(ctx context.Context, t team, instance *starter.Process) error {
	code := ""
	for range warmUpAttempts {
		answer := l.sendRequest(ctx, t, instance, "warm")
		if answer.Complete {
			return nil
		}
		code = answer.Code
		time.Sleep(warmUpRetryDelay)
	}
	return &starter.Failed{
		Process: instance.Name,
		Step:    "warm " + t.name + " " + code,
	}
}

// sendRequest sends one request of a team to an instance. Its prompt has promptWords words.
func (l *load) sendRequest(ctx context.Context, t team, instance *starter.Process, word string) prover.Answer {
	return l.fixture.caller(t, instance).Complete(ctx, prover.CompletionRequest{
		Model:    t.name,
		Prompt:   "please answer " + word,
		Tokens:   answerTokens,
		Deadline: time.Now().Add(5 * time.Second),
	})
}

// offerAll sends the requests of all teams at fixed rates, without waiting for
// answers in between (open loop), and waits for all answers at the end.
func (l *load) offerAll(ctx context.Context) []*teamResult {
	l.startedAt = time.Now()
	var results []*teamResult
	var group sync.WaitGroup
	for k, t := range teams() {
		r := &teamResult{
			team: t,
		}
		results = append(results, r)
		s := &stream{
			load:   l,
			result: r,
			home:   k % len(l.fixture.site.Instances),
			random: rand.New(rand.NewPCG(7, uint64(k))),
			group:  &group,
		}
		group.Add(1)
		go s.run(ctx)
	}
	group.Wait()
	l.elapsed = time.Since(l.startedAt)
	return results
}

// The times of the faults, as fractions of the load's duration.
const (
	freezeAt    = 0.2
	thawAt      = 0.4
	killAt      = 0.5
	partitionAt = 0.6
	healAt      = 0.8
)

// injectFaults freezes an instance, kills and restarts another, and partitions a
// failure domain, at fixed times.
func (l *load) injectFaults(ctx context.Context) {
	site := l.fixture.site
	frozen, killed := site.Instance("a2"), site.Instance("b1")
	l.sleepUntil(freezeAt)
	frozen.Freeze()
	l.sleepUntil(thawAt)
	frozen.Thaw()
	l.sleepUntil(killAt)
	killed.Kill()
	_ = killed.Restart()
	l.sleepUntil(partitionAt)
	_ = site.Isolate(ctx, "c")
	l.sleepUntil(healAt)
	_ = site.SetPartitions(ctx)
}

func (l *load) sleepUntil(fraction float64) {
	time.Sleep(time.Until(l.startedAt.Add(time.Duration(fraction * float64(l.duration)))))
}

// readUsedTokens sums the tokens used by each team's requests, from the engines' journals.
func (l *load) readUsedTokens(ctx context.Context, results []*teamResult) error {
	for _, engine := range l.fixture.site.Engines {
		var journal recorder.Journal[runner.Request]
		if err := l.fixture.site.Read(ctx, engine.Callers, "/control/journal", &journal); err != nil {
			return err
		}
		for _, entry := range journal.Entries {
			for _, r := range results {
				if strings.HasPrefix(entry.Checkpoint, r.team.name+"-") {
					r.usedTokens += entry.Prompt + entry.Tokens
				}
			}
		}
	}
	return nil
}
