package queuer

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// modelQueue holds the waiting requests for one model.
type modelQueue struct {
	queuer *Queuer
	model  string
	// count is the number of waiting requests, readable without the lock.
	count atomic.Int64

	mu sync.Mutex
	// virtualTime is the virtual time of start-time fair queueing: the start tag of the request placed last.
	virtualTime       float64
	teams             map[string]*teamQueue
	overnight         int
	tokens            int64
	interactiveTokens int64
	throughput        throughput
	// lastEntered is the request that entered last; loaded is set if any upstream could run it when the
	// throughput was last updated.
	lastEntered *Ticket
	loaded      bool
}

// maxTeamsPerPass is the number of teams whose first request is tried in one pass.
const maxTeamsPerPass = 8

// enter adds a request, or returns the refusal if it must not wait.
func (mq *modelQueue) enter(now time.Time, w *waiter) *refuser.Refusal {
	mq.mu.Lock()
	defer mq.mu.Unlock()
	mq.updateThroughput(now)
	mq.lastEntered = &w.ticket
	if refusal := mq.refuseInfeasible(now, w); refusal != nil {
		return refusal
	}
	if refusal := mq.enforceLimits(now, w); refusal != nil {
		return refusal
	}
	mq.team(w.ticket.Team).push(w)
	mq.tokens += w.ticket.Tokens
	if w.ticket.Class == Overnight {
		mq.overnight++
	} else {
		mq.interactiveTokens += w.ticket.Tokens
	}
	mq.count.Add(1)
	mq.dispatchLocked(now)
	return nil
}

// team returns the queue of a team and creates it if necessary.
func (mq *modelQueue) team(team string) *teamQueue {
	if mq.queuer.mergeTeams {
		team = ""
	}
	tq := mq.teams[team]
	if tq == nil {
		tq = &teamQueue{
			team: team,
			tag:  mq.virtualTime,
		}
		mq.teams[team] = tq
	}
	return tq
}

// updateThroughput updates the throughput. The time since the last update counts only if requests wait and an
// upstream could run the request that had entered last when that time began.
func (mq *modelQueue) updateThroughput(now time.Time) {
	mq.throughput.advance(now, mq.loaded && mq.count.Load() > 0)
	mq.loaded = mq.lastEntered != nil && (mq.queuer.config.Loaded == nil || mq.queuer.config.Loaded(mq.lastEntered))
}

// refuseInfeasible refuses a request that cannot be placed by its deadline at the observed throughput.
func (mq *modelQueue) refuseInfeasible(now time.Time, w *waiter) *refuser.Refusal {
	if !now.Before(w.ticket.Deadline) {
		return refuseDeadline()
	}
	wait := mq.estimateWait(w)
	allowed := w.ticket.Deadline.Sub(now)
	if wait <= allowed {
		return nil
	}
	return refuseBusy("the request could not be started in time", now.Add(wait-allowed))
}

// estimateWait returns how long a request would wait at the observed throughput. An overnight request waits
// behind all requests; an interactive one waits behind its own team's requests with earlier deadlines and behind at
// most as many tokens of each other team.
func (mq *modelQueue) estimateWait(w *waiter) time.Duration {
	rate := mq.throughput.rate()
	if rate == 0 {
		return 0
	}
	ahead := mq.tokens
	if w.ticket.Class != Overnight {
		ahead = mq.tokensAhead(w)
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// tokensAhead returns the tokens that are placed until an interactive request is placed, including its own.
func (mq *modelQueue) tokensAhead(w *waiter) int64 {
	tokens := w.ticket.Tokens
	if own := mq.teams[w.ticket.Team]; own != nil {
		tokens += own.tokensBefore(w.ticket.Deadline)
	}
	total := tokens
	for team, tq := range mq.teams {
		if team != w.ticket.Team {
			total += min(tq.interactiveTokens, tokens)
		}
	}
	return total
}

// enforceLimits refuses a request if the queue is full. If the team with the most waiting requests would still have
// more than the new request's team without its last request, that one is refused instead.
func (mq *modelQueue) enforceLimits(now time.Time, w *waiter) *refuser.Refusal {
	config := mq.queuer.config
	full := "the queue is full"
	if w.ticket.Class == Overnight && mq.overnight >= config.MaxWaitingOvernight {
		return refuseBusy(full, mq.retryTime(now))
	}
	if mq.count.Load() < int64(config.MaxWaiting) {
		return nil
	}
	largest := mq.largestTeam()
	own := 0
	if tq := mq.teams[w.ticket.Team]; tq != nil {
		own = tq.size()
	}
	if largest == nil || largest.size() <= own+1 {
		return refuseBusy(full, mq.retryTime(now))
	}
	last := largest.last()
	mq.remove(last)
	last.answer <- result{
		err: refuseBusy(full, mq.retryTime(now)),
	}
	return nil
}

// retryTime returns when about half of the waiting tokens will have been placed, between a second and a
// minute from now.
func (mq *modelQueue) retryTime(now time.Time) time.Time {
	rate := mq.throughput.rate()
	if rate == 0 {
		return now.Add(time.Second)
	}
	wait := time.Duration(float64(mq.tokens) / 2 / rate * float64(time.Second))
	return now.Add(min(max(wait, time.Second), time.Minute))
}

// largestTeam returns the team queue with the most requests.
func (mq *modelQueue) largestTeam() *teamQueue {
	var largest *teamQueue
	for _, tq := range mq.teams {
		if largest == nil || tq.size() > largest.size() ||
			tq.size() == largest.size() && tq.team < largest.team {
			largest = tq
		}
	}
	return largest
}

// remove removes a waiting request.
func (mq *modelQueue) remove(w *waiter) {
	w.remove()
	tq := mq.team(w.ticket.Team)
	tq.tokens -= w.ticket.Tokens
	mq.tokens -= w.ticket.Tokens
	if w.ticket.Class == Overnight {
		mq.overnight--
	} else {
		tq.interactiveTokens -= w.ticket.Tokens
		mq.interactiveTokens -= w.ticket.Tokens
	}
	mq.count.Add(-1)
	if tq.size() == 0 && tq.tag <= mq.virtualTime {
		delete(mq.teams, tq.team)
	}
	if mq.count.Load() == 0 {
		clear(mq.teams)
		mq.virtualTime = 0
	}
}

// dispatchLocked promotes overnight requests that are due and places requests until none can be placed. The caller
// holds the mutex.
func (mq *modelQueue) dispatchLocked(now time.Time) {
	mq.updateThroughput(now)
	for _, tq := range mq.teams {
		if !mq.queuer.skipAging {
			tq.promote(now)
		}
	}
	for _, class := range []Class{Interactive, Overnight} {
		for mq.placeNext(class) {
			continue
		}
	}
	mq.removeIdle()
}

// placeNext places one request of a class: the first request of the team with the smallest tag whose first
// request can be placed.
func (mq *modelQueue) placeNext(class Class) bool {
	for _, tq := range mq.byTag(class) {
		w := tq.head(class)
		placement, ok := mq.queuer.config.Pick(&w.ticket)
		if !ok {
			continue
		}
		mq.virtualTime = max(mq.virtualTime, tq.tag)
		tq.tag += float64(w.ticket.Tokens)
		mq.throughput.placed(w.ticket.Tokens)
		mq.remove(w)
		w.answer <- result{
			placement: placement,
		}
		return true
	}
	return false
}

// byTag returns the teams that wait in a class by ascending tag, at most maxTeamsPerPass of them.
func (mq *modelQueue) byTag(class Class) []*teamQueue {
	waiting := make([]*teamQueue, 0, len(mq.teams))
	for _, tq := range mq.teams {
		if tq.head(class) != nil {
			waiting = append(waiting, tq)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].tag == waiting[j].tag {
			return waiting[i].team < waiting[j].team
		}
		return waiting[i].tag < waiting[j].tag
	})
	return waiting[:min(len(waiting), maxTeamsPerPass)]
}

// removeIdle removes teams without waiting requests whose tag has been passed by the virtual time.
func (mq *modelQueue) removeIdle() {
	for team, tq := range mq.teams {
		if tq.size() == 0 && tq.tag <= mq.virtualTime {
			delete(mq.teams, team)
		}
	}
}

// cancel removes a request whose caller no longer waits. It reports false if the request was answered already.
func (mq *modelQueue) cancel(w *waiter) bool {
	mq.mu.Lock()
	defer mq.mu.Unlock()
	if w.heap == nil {
		return false
	}
	mq.remove(w)
	return true
}

// refuseWaiting refuses the waiting requests for which refuse returns a refusal.
func (mq *modelQueue) refuseWaiting(refuse func(Ticket) *refuser.Refusal) {
	mq.mu.Lock()
	defer mq.mu.Unlock()
	var waiters []*waiter
	for _, tq := range mq.teams {
		for _, queue := range []deadlineHeap{tq.interactive, tq.overnight} {
			waiters = append(waiters, queue...)
		}
	}
	for _, w := range waiters {
		if refusal := refuse(w.ticket); refusal != nil {
			mq.remove(w)
			w.answer <- result{
				err: refusal,
			}
		}
	}
}

// dispatch tries to place waiting requests.
func (mq *modelQueue) dispatch(now time.Time) {
	if mq.count.Load() == 0 {
		return
	}
	mq.mu.Lock()
	defer mq.mu.Unlock()
	mq.dispatchLocked(now)
}
