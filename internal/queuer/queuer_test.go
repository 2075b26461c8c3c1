package queuer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// bench simulates an upstream that runs a bounded number of requests at once.
type bench struct {
	mu       sync.Mutex
	queuer   *Queuer
	capacity int
	served   map[string]int64
	order    []string
	refusals map[refuser.Code]int
	maxLate  time.Duration
}

// newBench returns a bench with the given free capacity.
func newBench(capacity int) *bench {
	b := &bench{
		capacity: capacity,
		served:   map[string]int64{},
		refusals: map[refuser.Code]int{},
	}
	b.queuer = New(Config{
		Pick:      b.pick,
		Requests:  100,
		Overnight: 50,
	})
	return b
}

// pick implements Config.Pick.
func (b *bench) pick(t *Ticket) (any, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.capacity == 0 {
		return nil, false
	}
	b.capacity--
	b.served[t.Team] += t.Tokens
	b.order = append(b.order, t.ID)
	return t.ID, true
}

// free adds capacity for one request.
func (b *bench) free() {
	b.mu.Lock()
	b.capacity++
	b.mu.Unlock()
	b.queuer.Kick("m")
}

// run sends one request and occupies its capacity for the given time.
func (b *bench) run(ticket Ticket, hold time.Duration) {
	ticket.Model = "m"
	_, err := b.queuer.Enter(context.Background(), ticket)
	late := time.Since(ticket.Deadline)
	b.mu.Lock()
	b.maxLate = max(b.maxLate, late)
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		b.refusals[refusal.Code]++
	}
	b.mu.Unlock()
	if err == nil {
		time.Sleep(hold)
		b.free()
	}
}

// in returns the time after a duration from now.
func in(d time.Duration) time.Time { return time.Now().Add(d) }

// TestDeadline checks that every waiting request is answered by its deadline.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	run := func(skipDeadline bool) time.Duration {
		var late time.Duration
		synctest.Test(t, func(t *testing.T) {
			b := newBench(1)
			b.queuer.skipDeadline = skipDeadline
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range 90 {
				go b.run(Ticket{
					ID:       fmt.Sprint(i),
					Team:     fmt.Sprint(i % 3),
					Tokens:   10,
					Deadline: in(time.Duration(1+rng.IntN(5000)) * time.Millisecond),
				}, 300*time.Millisecond)
			}
			time.Sleep(time.Minute)
			b.mu.Lock()
			defer b.mu.Unlock()
			late = b.maxLate
		})
		return late
	}
	is.True(run(false) <= 50*time.Millisecond)
	is.True(run(true) > 50*time.Millisecond)
}

// TestFairness compares the work placed for one flooding team and two others with their max-min fair shares.
func TestFairness(t *testing.T) {
	is := is.New(t)
	run := func(mergeTeams bool) float64 {
		worst := 1.0
		synctest.Test(t, func(t *testing.T) {
			b := newBench(4)
			b.queuer.mergeTeams = mergeTeams
			stop := in(60 * time.Second)
			send := func(team string, gap time.Duration, tokens int64) {
				for i := 0; time.Now().Before(stop); i++ {
					go b.run(Ticket{
						ID:       fmt.Sprint(team, i),
						Team:     team,
						Tokens:   tokens,
						Deadline: in(3 * time.Second),
					}, time.Duration(tokens)*time.Millisecond)
					time.Sleep(gap)
				}
			}
			go send("flood", 10*time.Millisecond, 100)
			go send("half", 50*time.Millisecond, 100)
			go send("small", 400*time.Millisecond, 200)
			time.Sleep(70 * time.Second)
			b.mu.Lock()
			defer b.mu.Unlock()
			// The capacity is 4 tokens/ms: the team small requests 500/s, and the others share 3500/s.
			worst = min(float64(b.served["half"])/(1750*60), float64(b.served["small"])/(500*60))
		})
		return worst
	}
	is.True(run(false) >= 0.95)
	is.True(run(true) < 0.8)
}

// TestOvernight checks that overnight requests wait for interactive ones but are placed before their
// deadline.
func TestOvernight(t *testing.T) {
	is := is.New(t)
	run := func(skipAging bool) (placed bool, before bool) {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(0)
			b.queuer.skipAging = skipAging
			go b.run(Ticket{
				ID:       "night",
				Team:     "a",
				Class:    Overnight,
				Tokens:   10,
				Deadline: in(10 * time.Second),
			}, 0)
			for i := range 30 {
				go b.run(Ticket{
					ID:       fmt.Sprint("day", i),
					Team:     "b",
					Tokens:   10,
					Deadline: in(20 * time.Second),
				}, 500*time.Millisecond)
			}
			time.Sleep(time.Millisecond)
			b.free()
			time.Sleep(30 * time.Second)
			b.mu.Lock()
			defer b.mu.Unlock()
			for i, id := range b.order {
				if id == "night" {
					placed = true
					before = i < 10
				}
			}
		})
		return placed, before
	}
	placed, before := run(false)
	is.True(placed && !before)
	placed, _ = run(true)
	is.True(!placed)
}

// TestExpel checks that the waiting requests of a withdrawn key are refused at once.
func TestExpel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(0)
		for i := range 10 {
			go b.run(Ticket{
				ID:       fmt.Sprint(i),
				Team:     "a",
				Key:      fmt.Sprint("k", i%2),
				Tokens:   1,
				Deadline: in(time.Hour),
			}, 0)
		}
		synctest.Wait()
		b.queuer.Expel(func(ticket Ticket) *refuser.Refusal {
			if ticket.Key != "k1" {
				return nil
			}
			return &refuser.Refusal{
				Code:    refuser.CodeWithdrawn,
				Outcome: refuser.NotRun,
			}
		})
		synctest.Wait()
		b.mu.Lock()
		is.Equal(b.refusals[refuser.CodeWithdrawn], 5)
		b.mu.Unlock()
		waiting, _ := b.queuer.Waiting("m")
		is.Equal(waiting, 5)
		time.Sleep(2 * time.Hour)
	})
}

// TestHopeless checks that a request that cannot start in time is refused at once, and that one with a later
// deadline is not.
func TestHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(1)
		for i := range 90 {
			go b.run(Ticket{
				ID:       fmt.Sprint(i),
				Team:     "a",
				Tokens:   10,
				Deadline: in(12 * time.Second),
			}, 200*time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		start := time.Now()
		_, err := b.queuer.Enter(context.Background(), Ticket{
			Model:    "m",
			Team:     "a",
			Tokens:   10,
			Deadline: in(9 * time.Second),
		})
		var refusal *refuser.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Code, refuser.CodeBusy)
		is.Equal(refusal.Outcome, refuser.NotRun)
		is.True(refusal.RetryAt.After(start))
		is.Equal(time.Now(), start) // at once
		_, err = b.queuer.Enter(context.Background(), Ticket{
			Model:    "m",
			Team:     "a",
			Tokens:   10,
			Deadline: in(time.Minute),
		})
		is.NoErr(err)
		time.Sleep(time.Minute)
	})
}
