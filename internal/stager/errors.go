package stager

import (
	"errors"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Conflict reports that another order is under way at the engine, or that the engine has
// accepted a different number of orders than expected.
type Conflict struct{}

// Error implements error.
func (e *Conflict) Error() string { return "another order is under way, or the sequence differs" }

// Outdated reports that the engine's own report is older than the last order.
type Outdated struct{}

// Error implements error.
func (e *Outdated) Error() string { return "the engine's report is older than the last order" }

// Fenced reports that the engine has seen a higher epoch, which is the fencing token of
// orders.
type Fenced struct {
	// Epoch is the epoch of the refused order.
	Epoch uint64
}

// Error implements error.
func (e *Fenced) Error() string {
	return "the engine has seen a higher fencing number than " + strconv.FormatUint(e.Epoch, 10)
}

// Refused reports any other refusal of an engine. The order is not carried out.
type Refused struct {
	// Status is the HTTP status of the engine's response.
	Status int
}

// Error implements error.
func (e *Refused) Error() string {
	return "the engine refused the order with status " + strconv.Itoa(e.Status)
}

// Unsent reports an order that surely did not reach the engine.
type Unsent struct {
	// Cause is the transport's error.
	Cause error
}

// Error implements error.
func (e *Unsent) Error() string { return "the order was not sent: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *Unsent) Unwrap() error { return e.Cause }

// Unanswered reports an order without an answer. The engine may still carry it out later, as long as
// it has accepted no other order.
type Unanswered struct {
	// Cause is the transport's error.
	Cause error
}

// Error implements error.
func (e *Unanswered) Error() string { return "the order was not answered: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *Unanswered) Unwrap() error { return e.Cause }

// Unavailable reports that something cannot be loaded now.
type Unavailable struct {
	// Reason describes why.
	Reason string
	// Until is when the load may be retried; zero if that is not known.
	Until time.Time
}

// Error implements error.
func (e *Unavailable) Error() string { return e.Reason }

// Malformed reports a message between instances that cannot be decoded.
type Malformed struct {
	// Cause is the error of the encoding, or nil.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string { return "malformed message about loads" }

// Unwrap returns the error of the encoding.
func (e *Malformed) Unwrap() error { return e.Cause }

// unavailableUntil returns the error of a load that may be retried at a time.
func unavailableUntil(reason string, until time.Time) error {
	return &Unavailable{
		Reason: reason,
		Until:  until,
	}
}

// engineBusy returns the error of a load on an engine that takes no order before a time.
func engineBusy(until time.Time) error {
	return unavailableUntil("the engine carries out another order", until)
}

// retryTime returns when the failed load may be retried; zero if that is not known.
func retryTime(err error) time.Time {
	var failed *Unavailable
	if errors.As(err, &failed) {
		return failed.Until
	}
	return time.Time{}
}

// unavailable returns the error of a load that may be retried at an unknown time.
func unavailable(reason string) error {
	return &Unavailable{
		Reason: reason,
	}
}

// refusal returns the refusal of a request that needs a model or adapter that cannot be loaded in
// time.
func refusal(err error) *refuser.Refusal {
	return &refuser.Refusal{
		Code:    refuser.CodeNoUpstream,
		Outcome: refuser.NotRun,
		Detail:  "what the request needs cannot be loaded in time",
		RetryAt: retryTime(err),
		Cause:   err,
	}
}
