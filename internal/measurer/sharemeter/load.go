package sharemeter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// teamResult counts the outcomes of one team's requests.
type teamResult struct {
	team    team
	mutex   sync.Mutex
	offered int
	done    int
	refused int
	// late counts refusals for other reasons than the rate, such as the deadline
	// or missing capacity; failed counts requests without a response.
	late   int
	failed int
	spent  int
}

// requestCost is the number of tokens for which a request is charged when it is settled.
const requestCost = tokens + promptWords

// promptWords is the number of words in each prompt, each of which counts as one token.
const promptWords = 3

// load sends the requests of all teams.
type load struct {
	fixture  *fixture
	duration time.Duration
	began    time.Time
	elapsed  time.Duration
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
	// The budgets refill before the measured time.
	time.Sleep(refillPause)
	return nil
}

const (
	warmUpAttempts   = 100
	refillPause      = 4 * time.Second
	warmUpRetryDelay = 100 * time.Millisecond
)

// warmUpAt sends requests for the team's model until one is answered. Several
// attempts may be needed, since a cold start can find the budget empty.
func (l *load) warmUpAt(ctx context.Context, t team, instance *starter.Process) error {
	code := ""
	for range warmUpAttempts {
		answer := l.ask(ctx, t, instance, "warm")
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

// ask sends one request of a team, whose prompt has promptWords words.
func (l *load) ask(ctx context.Context, t team, instance *starter.Process, word string) prover.Answer {
	return l.fixture.caller(t, instance).Complete(ctx, prover.CompletionRequest{
		Model:    t.name,
		Prompt:   "please answer " + word,
		Tokens:   tokens,
		Deadline: time.Now().Add(5 * time.Second),
	})
}

// offerAll sends the requests of all teams at fixed rates, without waiting for
// answers in between (open loop), and waits for all answers at the end.
func (l *load) offerAll(ctx context.Context) []*teamResult {
	l.began = time.Now()
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
	l.elapsed = time.Since(l.began)
	return results
}

// stream sends the requests of one team.
type stream struct {
	load   *load
	result *teamResult
	home   int
	random *rand.Rand
	group  *sync.WaitGroup
}

// run sends requests at a fixed interval until the duration of the load has passed.
func (s *stream) run(ctx context.Context) {
	defer s.group.Done()
	interval := time.Duration(float64(time.Second) * requestCost / (s.result.team.rate * s.result.team.load))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; time.Since(s.load.began) < s.load.duration; n++ {
		<-ticker.C
		c := &call{
			stream:   s,
			instance: s.pick(),
			number:   n,
		}
		s.group.Add(1)
		go c.run(ctx)
	}
}

// pick returns the team's home instance with the probability homeShare, and
// otherwise a random one.
func (s *stream) pick() *starter.Process {
	instances := s.load.fixture.site.Instances
	if s.random.Float64() < homeShare {
		return instances[s.home]
	}
	return instances[s.random.IntN(len(instances))]
}

// call is one request of a stream.
type call struct {
	stream   *stream
	instance *starter.Process
	number   int
}

func (c *call) run(ctx context.Context) {
	defer c.stream.group.Done()
	result := c.stream.result
	answer := c.stream.load.ask(ctx, result.team, c.instance, fmt.Sprint(c.number))
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.offered++
	switch {
	case answer.Complete:
		result.done++
	case answer.Code == "rate_limited":
		result.refused++
	case answer.Status == 0:
		result.failed++
	default:
		result.late++
	}
}

// The times of the faults, as fractions of the load's duration.
const (
	freezeAt = 0.2
	thawAt   = 0.4
	killAt   = 0.5
	cutAt    = 0.6
	healAt   = 0.8
)

// run injects the faults at fixed times: it freezes an instance, kills and
// restarts another, and partitions a failure domain.
func (l *load) run(ctx context.Context) {
	site := l.fixture.site
	frozen, killed := site.Instance("a2"), site.Instance("b1")
	l.sleepUntil(freezeAt)
	frozen.Freeze()
	l.sleepUntil(thawAt)
	frozen.Thaw()
	l.sleepUntil(killAt)
	killed.Kill()
	_ = killed.Restart()
	l.sleepUntil(cutAt)
	_ = site.Isolate(ctx, "c")
	l.sleepUntil(healAt)
	_ = site.SetPartitions(ctx)
}

func (l *load) sleepUntil(fraction float64) {
	time.Sleep(time.Until(l.began.Add(time.Duration(fraction * float64(l.duration)))))
}

// readSpent sums the tokens used by each team's requests, from the engines' journals.
func (l *load) readSpent(ctx context.Context, results []*teamResult) error {
	for _, engine := range l.fixture.site.Engines {
		var journal recorder.Journal[runner.Request]
		if err := l.fixture.site.Read(ctx, engine.Callers, "/control/journal", &journal); err != nil {
			return err
		}
		for _, entry := range journal.Entries {
			for _, r := range results {
				if strings.HasPrefix(entry.Checkpoint, r.team.name+"-") {
					r.spent += entry.Prompt + entry.Tokens
				}
			}
		}
	}
	return nil
}
