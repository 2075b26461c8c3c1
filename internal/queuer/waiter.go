package queuer

import "time"

// waiter is a waiting request.
type waiter struct {
	ticket Ticket
	// entered is when it began to wait.
	entered time.Time
	// urgent is when an overnight request is promoted to interactive.
	urgent time.Time
	// answer receives the result once; it has a buffer, so sending never blocks.
	answer chan result
	// heap and index are its position; heap is nil once the request was answered.
	heap  *deadlines
	index int
}

// result is a placement or the reason for a refusal.
type result struct {
	placement any
	err       error
}

// agingDivisor sets the part of an overnight request's waiting time that is left when it is promoted to
// interactive.
const agingDivisor = 4

func newWaiter(ticket Ticket, now time.Time) *waiter {
	return &waiter{
		ticket:  ticket,
		entered: now,
		urgent:  ticket.Deadline.Add(-ticket.Deadline.Sub(now) / agingDivisor),
		answer:  make(chan result, 1),
	}
}
