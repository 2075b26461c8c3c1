package queuer

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// line holds the waiting requests for one model.
type line struct {
	queuer *Queuer
	model  string
	// count is the number of waiting requests, readable without the lock.
	count atomic.Int64

	mu sync.Mutex
	// clock is the virtual time: the tag of the request placed last.
	clock     float64
	lanes     map[string]*lane
	overnight int
	tokens    int64
	pressing  int64
	pace      pace
	// sample is the request that came last, loaded whether a copy could run it
	// when the pace was last aged.
	sample *Ticket
	loaded bool
}

// tries is the number of teams whose head is tried at one dispatch after
// another could not be placed.
const tries = 8

// enter adds a request, or returns why it must not wait.
func (l *line) enter(now time.Time, w *waiter) *refuser.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.sample = &w.ticket
	if refusal := l.hopeless(now, w); refusal != nil {
		return refusal
	}
	if refusal := l.makeRoom(now, w); refusal != nil {
		return refusal
	}
	l.lane(w.ticket.Team).push(w)
	l.tokens += w.ticket.Tokens
	if w.ticket.Class == Overnight {
		l.overnight++
	} else {
		l.pressing += w.ticket.Tokens
	}
	l.count.Add(1)
	l.dispatch(now)
	return nil
}

func (l *line) lane(team string) *lane {
	if l.queuer.merged {
		team = ""
	}
	entry := l.lanes[team]
	if entry == nil {
		entry = &lane{
			team: team,
			tag:  l.clock,
		}
		l.lanes[team] = entry
	}
	return entry
}

// advance ages the pace. Time during which no copy could run the request that
// came last does not count, nor does the time before a copy was first seen.
func (l *line) advance(now time.Time) {
	l.pace.advance(now, l.loaded && l.count.Load() > 0)
	l.loaded = l.sample != nil && (l.queuer.config.Loaded == nil || l.queuer.config.Loaded(l.sample))
}

// hopeless refuses a request that cannot be placed by its deadline at the
// observed pace.
func (l *line) hopeless(now time.Time, w *waiter) *refuser.Refusal {
	if !now.Before(w.ticket.Deadline) {
		return refuseDeadline()
	}
	wait := l.estimate(w)
	allowed := w.ticket.Deadline.Sub(now)
	if wait <= allowed {
		return nil
	}
	return refuseBusy("the request could not be started in time", now.Add(wait-allowed))
}

// estimate is how long a request would wait at the observed pace: an overnight
// request behind everything, another behind its own team's requests with
// earlier deadlines and as much of each other team.
func (l *line) estimate(w *waiter) time.Duration {
	rate := l.pace.rate()
	if rate == 0 {
		return 0
	}
	ahead := l.tokens
	if w.ticket.Class != Overnight {
		ahead = l.ahead(w)
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

func (l *line) ahead(w *waiter) int64 {
	mine := w.ticket.Tokens
	if own := l.lanes[w.ticket.Team]; own != nil {
		mine += own.before(w.ticket.Deadline)
	}
	total := mine
	for team, entry := range l.lanes {
		if team != w.ticket.Team {
			total += min(entry.pressing, mine)
		}
	}
	return total
}

// makeRoom keeps the line within its bounds: the team with the most waiting
// requests loses its last one if the newcomer's team has fewer.
func (l *line) makeRoom(now time.Time, w *waiter) *refuser.Refusal {
	config := l.queuer.config
	full := "the queue is full"
	if w.ticket.Class == Overnight && l.overnight >= config.Overnight {
		return refuseBusy(full, l.later(now))
	}
	if l.count.Load() < int64(config.Requests) {
		return nil
	}
	largest := l.largest()
	own := 0
	if entry := l.lanes[w.ticket.Team]; entry != nil {
		own = entry.size()
	}
	if largest == nil || largest.size() <= own+1 {
		return refuseBusy(full, l.later(now))
	}
	last := largest.last()
	l.remove(last)
	last.answer <- result{
		err: refuseBusy(full, l.later(now)),
	}
	return nil
}

// later is when half of what waits will have been placed.
func (l *line) later(now time.Time) time.Time {
	rate := l.pace.rate()
	if rate == 0 {
		return now.Add(time.Second)
	}
	wait := time.Duration(float64(l.tokens) / 2 / rate * float64(time.Second))
	return now.Add(min(max(wait, time.Second), time.Minute))
}

func (l *line) largest() *lane {
	var largest *lane
	for _, entry := range l.lanes {
		if largest == nil || entry.size() > largest.size() ||
			entry.size() == largest.size() && entry.team < largest.team {
			largest = entry
		}
	}
	return largest
}

// remove takes a request out of the line.
func (l *line) remove(w *waiter) {
	w.remove()
	entry := l.lane(w.ticket.Team)
	entry.tokens -= w.ticket.Tokens
	l.tokens -= w.ticket.Tokens
	if w.ticket.Class == Overnight {
		l.overnight--
	} else {
		entry.pressing -= w.ticket.Tokens
		l.pressing -= w.ticket.Tokens
	}
	l.count.Add(-1)
	if entry.size() == 0 && entry.tag <= l.clock {
		delete(l.lanes, entry.team)
	}
	if l.count.Load() == 0 {
		clear(l.lanes)
		l.clock = 0
	}
}

// dispatch places requests until none can be placed.
func (l *line) dispatch(now time.Time) {
	l.advance(now)
	for _, entry := range l.lanes {
		if !l.queuer.unaged {
			entry.promote(now)
		}
	}
	for _, class := range []Class{Interactive, Overnight} {
		for l.next(class) {
			continue
		}
	}
	l.sweep()
}

// next places one request of a class: that of the team with the smallest tag
// whose head can be placed.
func (l *line) next(class Class) bool {
	for _, entry := range l.order(class) {
		w := entry.head(class)
		placement, ok := l.queuer.config.Pick(&w.ticket)
		if !ok {
			continue
		}
		l.clock = max(l.clock, entry.tag)
		entry.tag += float64(w.ticket.Tokens)
		l.pace.placed(w.ticket.Tokens)
		l.remove(w)
		w.answer <- result{
			placement: placement,
		}
		return true
	}
	return false
}

// order lists the teams that wait in a class, the most deserving first.
func (l *line) order(class Class) []*lane {
	waiting := make([]*lane, 0, len(l.lanes))
	for _, entry := range l.lanes {
		if entry.head(class) != nil {
			waiting = append(waiting, entry)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].tag == waiting[j].tag {
			return waiting[i].team < waiting[j].team
		}
		return waiting[i].tag < waiting[j].tag
	})
	return waiting[:min(len(waiting), tries)]
}

// sweep forgets teams without waiting requests whose turn has passed.
func (l *line) sweep() {
	for team, entry := range l.lanes {
		if entry.size() == 0 && entry.tag <= l.clock {
			delete(l.lanes, team)
		}
	}
}

// leave removes a request unless it was answered already.
func (l *line) leave(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.heap == nil {
		return false
	}
	l.remove(w)
	return true
}

// expel ends the requests for which refuse returns a refusal.
func (l *line) expel(refuse func(Ticket) *refuser.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ended []*waiter
	for _, entry := range l.lanes {
		for _, queue := range []deadlines{entry.interactive, entry.overnight} {
			ended = append(ended, queue...)
		}
	}
	for _, w := range ended {
		if refusal := refuse(w.ticket); refusal != nil {
			l.remove(w)
			w.answer <- result{
				err: refusal,
			}
		}
	}
}

func (l *line) kick(now time.Time) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatch(now)
}
