package queuer

import "time"

// waiter is a waiting request.
type waiter struct {
	ticket Ticket
	// entered is when it began to wait.
	entered time.Time
	// promoteAt is when an overnight request is promoted to interactive.
	promoteAt time.Time
	// answer receives the result once; it has a buffer, so sending never blocks.
	answer chan result
	// heap and index are its position; heap is nil once the request was answered.
	heap  *deadlineHeap
	index int
}

// result is a placement or the reason for a refusal.
type result struct {
	placement any
	err       error
}

// agingDivisor sets when an overnight request is promoted to interactive: when one agingDivisor-th of the time
// between its entry and its deadline remains.
const agingDivisor = 4

func newWaiter(ticket Ticket, now time.Time) *waiter {
	return &waiter{
		ticket:    ticket,
		entered:   now,
		promoteAt: ticket.Deadline.Add(-ticket.Deadline.Sub(now) / agingDivisor),
		answer:    make(chan result, 1),
	}
}
