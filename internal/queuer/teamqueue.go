package queuer

import (
	"container/heap"
	"time"
)

// lane holds the waiting requests of one team.
type lane struct {
	team string
	// tag is the virtual time at which the team's next request starts: the
	// tokens that were placed for it, as start-time fair queueing counts.
	tag float64
	// tokens is all that waits, pressing the part of interactive requests.
	tokens      int64
	pressing    int64
	interactive deadlines
	overnight   deadlines
}

func (l *lane) size() int { return len(l.interactive) + len(l.overnight) }

func (l *lane) push(w *waiter) {
	l.tokens += w.ticket.Tokens
	if w.ticket.Class == Overnight {
		heap.Push(&l.overnight, w)
		return
	}
	l.pressing += w.ticket.Tokens
	heap.Push(&l.interactive, w)
}

// before is the work of interactive requests that go before a deadline.
func (l *lane) before(deadline time.Time) int64 {
	total := int64(0)
	for _, w := range l.interactive {
		if !w.ticket.Deadline.After(deadline) {
			total += w.ticket.Tokens
		}
	}
	return total
}

// promote lets overnight requests count as interactive once their time runs out.
func (l *lane) promote(now time.Time) {
	for len(l.overnight) > 0 && !now.Before(l.overnight[0].urgent) {
		w := heap.Pop(&l.overnight).(*waiter)
		heap.Push(&l.interactive, w)
	}
}

// head is the request that goes first in a class, or nil.
func (l *lane) head(class Class) *waiter {
	queue := l.interactive
	if class == Overnight {
		queue = l.overnight
	}
	if len(queue) == 0 {
		return nil
	}
	return queue[0]
}

// last is the request with the latest deadline, overnight ones first.
func (l *lane) last() *waiter {
	queue := l.overnight
	if len(queue) == 0 {
		queue = l.interactive
	}
	var latest *waiter
	for _, w := range queue {
		if latest == nil || w.ticket.Deadline.After(latest.ticket.Deadline) {
			latest = w
		}
	}
	return latest
}
