package queuer

import (
	"container/heap"
	"time"
)

// teamQueue holds the waiting requests of one team for one model.
type teamQueue struct {
	team string
	// tag is the virtual start time of the team's next request in start-time fair queueing: it grows by the
	// tokens of each placed request.
	tag float64
	// tokens is the sum over all waiting requests, interactiveTokens the sum over those that entered as
	// interactive.
	tokens            int64
	interactiveTokens int64
	interactive       deadlineHeap
	overnight         deadlineHeap
}

func (tq *teamQueue) size() int { return len(tq.interactive) + len(tq.overnight) }

// push adds a request to the heap of its class.
func (tq *teamQueue) push(w *waiter) {
	tq.tokens += w.ticket.Tokens
	if w.ticket.Class == Overnight {
		heap.Push(&tq.overnight, w)
		return
	}
	tq.interactiveTokens += w.ticket.Tokens
	heap.Push(&tq.interactive, w)
}

// tokensBefore returns the tokens of interactive requests whose deadline is not after the given one.
func (tq *teamQueue) tokensBefore(deadline time.Time) int64 {
	total := int64(0)
	for _, w := range tq.interactive {
		if !w.ticket.Deadline.After(deadline) {
			total += w.ticket.Tokens
		}
	}
	return total
}

// promote moves overnight requests whose time of promotion has come to the interactive heap.
func (tq *teamQueue) promote(now time.Time) {
	for len(tq.overnight) > 0 && !now.Before(tq.overnight[0].promoteAt) {
		w := heap.Pop(&tq.overnight).(*waiter)
		heap.Push(&tq.interactive, w)
	}
}

// head returns the next request of a class, or nil.
func (tq *teamQueue) head(class Class) *waiter {
	queue := tq.interactive
	if class == Overnight {
		queue = tq.overnight
	}
	if len(queue) == 0 {
		return nil
	}
	return queue[0]
}

// last returns the request with the latest deadline, from the overnight requests if there are any.
func (tq *teamQueue) last() *waiter {
	queue := tq.overnight
	if len(queue) == 0 {
		queue = tq.interactive
	}
	var latest *waiter
	for _, w := range queue {
		if latest == nil || w.ticket.Deadline.After(latest.ticket.Deadline) {
			latest = w
		}
	}
	return latest
}
