package stager

import (
	"errors"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Conflict reports that another order is under way at the engine, or that it
// has accepted another number of orders than expected.
type Conflict struct{}

// Error implements error.
func (e *Conflict) Error() string { return "another order is under way, or the sequence differs" }

// Fenced reports that the engine has seen a higher fencing number.
type Fenced struct {
	// Epoch is the number that was too low.
	Epoch uint64
}

// Error implements error.
func (e *Fenced) Error() string {
	return "the engine has seen a higher fencing number than " + strconv.FormatUint(e.Epoch, 10)
}

// Refused reports another refusal of an engine. The order is not carried out.
type Refused struct {
	// Status is the engine's status.
	Status int
}

// Error implements error.
func (e *Refused) Error() string {
	return "the engine refused the order with status " + strconv.Itoa(e.Status)
}

// Lost reports an order without an answer. It may be carried out later, while
// the engine has accepted no other order.
type Lost struct {
	// Cause is the transport's error.
	Cause error
}

// Error implements error.
func (e *Lost) Error() string { return "the order was not answered: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *Lost) Unwrap() error { return e.Cause }

// Unavailable reports that something cannot be loaded now.
type Unavailable struct {
	// Reason tells why.
	Reason string
	// Until is when it may be loaded; zero if that is not known.
	Until time.Time
}

// Error implements error.
func (e *Unavailable) Error() string { return e.Reason }

// Malformed reports a message that cannot be read.
type Malformed struct {
	// Cause is the error of the encoding, or nil.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string { return "malformed message about loads" }

// Unwrap returns the error of the encoding.
func (e *Malformed) Unwrap() error { return e.Cause }

// unavailableUntil reports what cannot be loaded before a time.
func unavailableUntil(reason string, until time.Time) error {
	return &Unavailable{
		Reason: reason,
		Until:  until,
	}
}

// occupied reports an engine that takes no order before a time.
func occupied(until time.Time) error {
	return unavailableUntil("the engine carries out another order", until)
}

// until is when what an error is about may be loaded; zero if not known.
func until(err error) time.Time {
	var failed *Unavailable
	if errors.As(err, &failed) {
		return failed.Until
	}
	return time.Time{}
}

func unavailable(reason string) error {
	return &Unavailable{
		Reason: reason,
	}
}

// refusal is what a caller is told whose request needs what cannot be loaded.
func refusal(err error) *refuser.Refusal {
	return &refuser.Refusal{
		Code:    refuser.CodeNoUpstream,
		Outcome: refuser.NotRun,
		Detail:  "what the request needs cannot be loaded in time",
		RetryAt: until(err),
		Cause:   err,
	}
}
