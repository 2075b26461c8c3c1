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

// fakeUpstream simulates an upstream that runs a bounded number of requests at once.
type fakeUpstream struct {
	mu       sync.Mutex
	queuer   *Queuer
	capacity int
	served   map[string]int64
	order    []string
	refusals map[refuser.Code]int
	maxLate  time.Duration
}

// newFakeUpstream returns a fakeUpstream with the given free capacity.
func newFakeUpstream(capacity int) *fakeUpstream {
	u := &fakeUpstream{
		capacity: capacity,
		served:   map[string]int64{},
		refusals: map[refuser.Code]int{},
	}
	u.queuer = New(Config{
		Pick:                u.pick,
		MaxWaiting:          100,
		MaxWaitingOvernight: 50,
	})
	return u
}

// pick implements Config.Pick.
func (u *fakeUpstream) pick(t *Ticket) (any, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.capacity == 0 {
		return nil, false
	}
	u.capacity--
	u.served[t.Team] += t.Tokens
	u.order = append(u.order, t.ID)
	return t.ID, true
}

// free adds capacity for one request.
func (u *fakeUpstream) free() {
	u.mu.Lock()
	u.capacity++
	u.mu.Unlock()
	u.queuer.Dispatch("m")
}

// run sends one request and occupies its capacity for the given time.
func (u *fakeUpstream) run(ticket Ticket, hold time.Duration) {
	ticket.Model = "m"
	_, err := u.queuer.Enter(context.Background(), ticket)
	late := time.Since(ticket.Deadline)
	u.mu.Lock()
	u.maxLate = max(u.maxLate, late)
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		u.refusals[refusal.Code]++
	}
	u.mu.Unlock()
	if err == nil {
		time.Sleep(hold)
		u.free()
	}
}

// in returns the time that is a duration after now.
func in(d time.Duration) time.Time { return time.Now().Add(d) }

// TestRequestsAreAnsweredByDeadline checks that every waiting request is answered by its deadline.
func TestRequestsAreAnsweredByDeadline(t *testing.T) {
	is := is.New(t)
	run := func(skipDeadline bool) time.Duration {
		var late time.Duration
		synctest.Test(t, func(t *testing.T) {
			u := newFakeUpstream(1)
			u.queuer.skipDeadline = skipDeadline
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range 90 {
				go u.run(Ticket{
					ID:       fmt.Sprint(i),
					Team:     fmt.Sprint(i % 3),
					Tokens:   10,
					Deadline: in(time.Duration(1+rng.IntN(5000)) * time.Millisecond),
				}, 300*time.Millisecond)
			}
			time.Sleep(time.Minute)
			u.mu.Lock()
			defer u.mu.Unlock()
			late = u.maxLate
		})
		return late
	}
	is.True(run(false) <= 50*time.Millisecond)
	is.True(run(true) > 50*time.Millisecond)
}

// TestFairnessBetweenTeams compares the work placed for one flooding team and two others with their max-min
// fair shares.
func TestFairnessBetweenTeams(t *testing.T) {
	is := is.New(t)
	run := func(mergeTeams bool) float64 {
		worst := 1.0
		synctest.Test(t, func(t *testing.T) {
			u := newFakeUpstream(4)
			u.queuer.mergeTeams = mergeTeams
			stop := in(60 * time.Second)
			send := func(team string, gap time.Duration, tokens int64) {
				for i := 0; time.Now().Before(stop); i++ {
					go u.run(Ticket{
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
			u.mu.Lock()
			defer u.mu.Unlock()
			// The capacity is 4 tokens/ms: the team small requests 500/s, and the others share 3500/s.
			worst = min(float64(u.served["half"])/(1750*60), float64(u.served["small"])/(500*60))
		})
		return worst
	}
	is.True(run(false) >= 0.95)
	is.True(run(true) < 0.8)
}

// TestOvernightRequestsArePlacedByDeadline checks that overnight requests wait for interactive ones but are
// placed before their deadline.
func TestOvernightRequestsArePlacedByDeadline(t *testing.T) {
	is := is.New(t)
	run := func(skipAging bool) (placed bool, early bool) {
		synctest.Test(t, func(t *testing.T) {
			u := newFakeUpstream(0)
			u.queuer.skipAging = skipAging
			go u.run(Ticket{
				ID:       "overnight",
				Team:     "a",
				Class:    Overnight,
				Tokens:   10,
				Deadline: in(10 * time.Second),
			}, 0)
			for i := range 30 {
				go u.run(Ticket{
					ID:       fmt.Sprint("interactive", i),
					Team:     "b",
					Tokens:   10,
					Deadline: in(20 * time.Second),
				}, 500*time.Millisecond)
			}
			time.Sleep(time.Millisecond)
			u.free()
			time.Sleep(30 * time.Second)
			u.mu.Lock()
			defer u.mu.Unlock()
			for i, id := range u.order {
				if id == "overnight" {
					placed = true
					early = i < 10
				}
			}
		})
		return placed, early
	}
	placed, early := run(false)
	is.True(placed && !early)
	placed, _ = run(true)
	is.True(!placed)
}

// TestRefuseWaiting checks that the waiting requests of a withdrawn key are refused at once.
func TestRefuseWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := newFakeUpstream(0)
		for i := range 10 {
			go u.run(Ticket{
				ID:       fmt.Sprint(i),
				Team:     "a",
				Key:      fmt.Sprint("k", i%2),
				Tokens:   1,
				Deadline: in(time.Hour),
			}, 0)
		}
		synctest.Wait()
		u.queuer.RefuseWaiting(func(ticket Ticket) *refuser.Refusal {
			if ticket.Key != "k1" {
				return nil
			}
			return &refuser.Refusal{
				Code:    refuser.CodeWithdrawn,
				Outcome: refuser.NotRun,
			}
		})
		synctest.Wait()
		u.mu.Lock()
		is.Equal(u.refusals[refuser.CodeWithdrawn], 5)
		u.mu.Unlock()
		waiting, _ := u.queuer.Waiting("m")
		is.Equal(waiting, 5)
		time.Sleep(2 * time.Hour)
	})
}

// TestInfeasibleDeadlineIsRefused checks that a request that cannot start in time is refused at once, and that
// one with a later deadline is not.
func TestInfeasibleDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := newFakeUpstream(1)
		for i := range 90 {
			go u.run(Ticket{
				ID:       fmt.Sprint(i),
				Team:     "a",
				Tokens:   10,
				Deadline: in(12 * time.Second),
			}, 200*time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		start := time.Now()
		_, err := u.queuer.Enter(context.Background(), Ticket{
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
		_, err = u.queuer.Enter(context.Background(), Ticket{
			Model:    "m",
			Team:     "a",
			Tokens:   10,
			Deadline: in(time.Minute),
		})
		is.NoErr(err)
		time.Sleep(time.Minute)
	})
}
