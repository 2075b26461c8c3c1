package stager

import (
	"errors"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// outcome is what is known of an order. While it is under way its view is locked, so that nothing is decided from it.
type outcome string

// The outcomes of orders.
const (
	// outcomeUnsent is that of an order that surely did not reach the engine.
	outcomeUnsent outcome = "unsent"
	// outcomeAccepted is that of an order that the engine carries out.
	outcomeAccepted outcome = "accepted"
	// outcomeHeld is that of a load that held already, of an unload that held already, and of an unload that was done at once.
	outcomeHeld outcome = "held"
	// outcomeConflict is that of an order that came during another one, or with another sequence than the engine's.
	outcomeConflict outcome = "conflict"
	// outcomeRefused is that of an order that is surely not carried out for any other reason.
	outcomeRefused outcome = "refused"
	// outcomeUnknown is that of an order that the engine may have accepted, or may still accept.
	outcomeUnknown outcome = "unknown"
)

// outcomeOf returns the outcome of an order from its result.
func outcomeOf(answer OrderResult, err error) outcome {
	var unsent *Unsent
	var conflict *Conflict
	var fenced *Fenced
	var refused *Refused
	switch {
	case err == nil && answer == InProgress:
		return outcomeAccepted
	case err == nil:
		return outcomeHeld
	case errors.As(err, &unsent):
		return outcomeUnsent
	case errors.As(err, &conflict):
		return outcomeConflict
	case errors.As(err, &fenced), errors.As(err, &refused) && refused.Status < http.StatusInternalServerError:
		return outcomeRefused
	default:
		return outcomeUnknown
	}
}

// count counts an order with this outcome.
func (o outcome) count() {
	metrics.GetOrCreateCounter(`buckthorngap_stager_orders_total{outcome="` + string(o) + `"}`).Inc()
}
