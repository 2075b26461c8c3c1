package queuer

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// referenceRequest is a waiting request of the reference model.
type referenceRequest struct {
	id        string
	team      string
	class     Class
	deadline  time.Time
	promoteAt time.Time
	tokens    int64
}

// reference is a plain implementation of the queueing rules to compare with.
type reference struct {
	waiting []referenceRequest
	// tags are the virtual start times of the teams' next requests.
	tags        map[string]float64
	virtualTime float64
}

// place returns the request that must be placed next.
func (r *reference) place(now time.Time) string {
	if len(r.waiting) == 0 {
		return ""
	}
	r.promote(now)
	interactive := func(w referenceRequest) bool { return w.class == Interactive }
	sort.SliceStable(r.waiting, func(i, j int) bool {
		a, b := r.waiting[i], r.waiting[j]
		if interactive(a) != interactive(b) {
			return interactive(a)
		}
		if r.tags[a.team] != r.tags[b.team] {
			return r.tags[a.team] < r.tags[b.team]
		}
		if a.team != b.team {
			return a.team < b.team
		}
		return a.deadline.Before(b.deadline)
	})
	first := r.waiting[0]
	r.virtualTime = max(r.virtualTime, r.tags[first.team])
	r.tags[first.team] += float64(first.tokens)
	r.waiting = r.waiting[1:]
	r.removeIdle()
	return first.id
}

// promote makes a team's overnight requests that are due interactive, in the order of their deadlines.
func (r *reference) promote(now time.Time) {
	sort.SliceStable(r.waiting, func(i, j int) bool { return r.waiting[i].deadline.Before(r.waiting[j].deadline) })
	blocked := map[string]bool{}
	for i, w := range r.waiting {
		if w.class == Interactive {
			continue
		}
		if now.Before(w.promoteAt) || blocked[w.team] {
			blocked[w.team] = true
			continue
		}
		r.waiting[i].class = Interactive
	}
}

// enter adds a request.
func (r *reference) enter(w referenceRequest) {
	defer r.promote(time.Now())
	if _, ok := r.tags[w.team]; !ok {
		r.tags[w.team] = r.virtualTime
	}
	r.waiting = append(r.waiting, w)
}

// expire removes requests that are past their deadline.
func (r *reference) expire(now time.Time) {
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		if now.Before(w.deadline) {
			kept = append(kept, w)
		}
	}
	r.waiting = kept
	r.removeIdle()
}

// removeIdle removes teams without requests whose tag has been passed by the virtual time.
func (r *reference) removeIdle() {
	if len(r.waiting) == 0 {
		r.tags = map[string]float64{}
		r.virtualTime = 0
	}
	for team, tag := range r.tags {
		used := tag > r.virtualTime
		for _, w := range r.waiting {
			used = used || w.team == team
		}
		if !used {
			delete(r.tags, team)
		}
	}
}

// freeOne frees capacity for one request and returns the request that was placed.
func (u *fakeUpstream) freeOne() string {
	u.mu.Lock()
	placed := len(u.order)
	u.mu.Unlock()
	u.free()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.capacity = 0
	if len(u.order) > placed {
		return u.order[placed]
	}
	return ""
}

// TestQueuerMatchesReference compares random sequences of requests and placements with the reference model.
func TestQueuerMatchesReference(t *testing.T) {
	for seed := range 40 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			steps := rapid.Custom(func(t *rapid.T) []int {
				return rapid.SliceOfN(rapid.IntRange(0, 999), 300, 300).Draw(t, "steps")
			}).Example(seed)
			ref := &reference{
				tags: map[string]float64{},
			}
			u := newFakeUpstream(0)
			for i, step := range steps {
				time.Sleep(time.Duration(step) * time.Millisecond)
				synctest.Wait()
				ref.expire(time.Now())
				if step%3 != 0 {
					w := referenceRequest{
						id:       fmt.Sprint(i),
						team:     fmt.Sprint(step % 4),
						class:    Interactive,
						tokens:   int64(1 + step%50),
						deadline: in(time.Duration(1+step*17%20000) * time.Millisecond),
					}
					if step%5 == 0 {
						w.class = Overnight
					}
					w.promoteAt = w.deadline.Add(-time.Until(w.deadline) / agingDivisor)
					before, _ := u.queuer.Waiting("m")
					go func() {
						_, _ = u.queuer.Enter(context.Background(), Ticket{
							ID:       w.id,
							Team:     w.team,
							Model:    "m",
							Class:    w.class,
							Tokens:   w.tokens,
							Deadline: w.deadline,
						})
					}()
					synctest.Wait()
					if after, _ := u.queuer.Waiting("m"); after > before {
						ref.enter(w)
					}
					continue
				}
				expected := ref.place(time.Now())
				got := u.freeOne()
				is.Equal(got, expected)
			}
			time.Sleep(time.Minute)
			waiting, tokens := u.queuer.Waiting("m")
			is.Equal(waiting, 0)
			is.Equal(tokens, int64(0))
		})
	}
}
