package queuer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a Queuer.
type Config struct {
	// Pick tries to place a request at an upstream. It must not block and
	// must not call the Queuer.
	Pick func(*Ticket) (any, bool)
	// Drop returns a placement whose request was cancelled meanwhile; may be nil.
	Drop func(ticket *Ticket, placement any)
	// Loaded reports whether any upstream could run the request if it had capacity; nil means yes. The
	// throughput of a queue is not measured while it is false, because a queue that waits for a load says
	// nothing about later waiting times.
	Loaded func(ticket *Ticket) bool
	// MaxWaiting is the maximum number of requests that wait for a model.
	MaxWaiting int
	// MaxWaitingOvernight is the maximum number of overnight requests among them.
	MaxWaitingOvernight int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Log is unused: a Queuer logs nothing.
	Log logrus.FieldLogger
}
