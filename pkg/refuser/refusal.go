package refuser

import (
	"net/http"
	"time"
)

// Code is the machine-readable reason of a Refusal, as sent to callers.
type Code string

// Codes of refusals.
const (
	// CodeBadRequest means that the request is invalid.
	CodeBadRequest Code = "bad_request"
	// CodeTooLarge means that the request exceeds a size limit.
	CodeTooLarge Code = "too_large"
	// CodeNoKey means that the request has no key.
	CodeNoKey Code = "missing_key"
	// CodeBadKey means that the key is not known.
	CodeBadKey Code = "invalid_key"
	// CodeWithdrawn means that the key, version or adapter was withdrawn.
	CodeWithdrawn Code = "withdrawn"
	// CodeForbidden means that the team does not exist or may not use the model or service.
	CodeForbidden Code = "forbidden"
	// CodeNoModel means that the model or adapter does not exist or has no version to serve.
	CodeNoModel Code = "model_not_found"
	// CodeNoRoute means that no route or service matches the path.
	CodeNoRoute Code = "route_not_found"
	// CodeRate means that the team has spent its budget.
	CodeRate Code = "rate_limited"
	// CodeBusy means that the instance cannot serve the request now, as when too many run or wait.
	CodeBusy Code = "overloaded"
	// CodeDeadline means that the deadline of the request has passed.
	CodeDeadline Code = "deadline"
	// CodeNoUpstream means that no upstream can take the request.
	CodeNoUpstream Code = "no_upstream"
	// CodeUpstreamFailed means that an upstream failed or sent an invalid answer.
	CodeUpstreamFailed Code = "upstream_failed"
	// CodeRepeat means that a call with the same idempotency key was made before.
	CodeRepeat Code = "repeated_call"
	// CodeStore means that the store is needed but unreachable.
	CodeStore Code = "store_unavailable"
	// CodeStarting means that the instance does not know the configuration yet.
	CodeStarting Code = "starting"
	// CodeNoVersion means that the stream cannot go on, because the software version that began it is not known or not served.
	CodeNoVersion Code = "version_unavailable"
	// CodeQuarantined means that the prompt has a part under which engines crashed.
	CodeQuarantined Code = "prompt_quarantined"
	// CodeStopping means that the instance is shutting down or the caller has disconnected.
	CodeStopping Code = "stopping"
)

// Refusal is the error that ends a request without a complete answer.
type Refusal struct {
	// Code is the reason of the refusal.
	Code Code
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	// Detail is a message for the caller; it must not contain secrets.
	Detail string
	// RetryAt is the earliest time at which a retry may succeed; zero if a retry
	// will not help.
	RetryAt time.Time
	// Cause is the underlying error, or nil. It is logged but not sent to the
	// caller.
	Cause error
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Detail }

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Cause }

// statuses maps codes to HTTP statuses.
var statuses = map[Code]int{
	CodeBadRequest:     http.StatusBadRequest,
	CodeTooLarge:       http.StatusRequestEntityTooLarge,
	CodeNoKey:          http.StatusUnauthorized,
	CodeBadKey:         http.StatusUnauthorized,
	CodeWithdrawn:      http.StatusUnauthorized,
	CodeForbidden:      http.StatusForbidden,
	CodeNoModel:        http.StatusNotFound,
	CodeNoRoute:        http.StatusNotFound,
	CodeRate:           http.StatusTooManyRequests,
	CodeBusy:           http.StatusServiceUnavailable,
	CodeDeadline:       http.StatusGatewayTimeout,
	CodeNoUpstream:     http.StatusServiceUnavailable,
	CodeUpstreamFailed: http.StatusBadGateway,
	CodeRepeat:         http.StatusConflict,
	CodeStore:          http.StatusServiceUnavailable,
	CodeStarting:       http.StatusServiceUnavailable,
	CodeStopping:       http.StatusServiceUnavailable,
	CodeNoVersion:      http.StatusServiceUnavailable,
	CodeQuarantined:    http.StatusServiceUnavailable,
}

// Status returns the HTTP status of the refusal: that of its code, which is 500 for an unlisted one, as far as the outcome allows it.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Code]; ok {
		return r.Outcome.Status(status)
	}
	return http.StatusInternalServerError
}
