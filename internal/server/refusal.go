package server

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// errorResponse is the body of a refusal, in the format customary for OpenAI-style APIs.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes a refusal: the usual fields of the format, and the outcome and identity of the request.
type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    refuser.Code    `json:"code"`
	Outcome refuser.Outcome `json:"outcome"`
	Request string          `json:"request_id"`
}

// errorType returns the error type that is customary for a status in OpenAI-style APIs.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// asRefusal converts any error of a request to a refusal. If the request's context was ended with a refusal as its
// cause, the code and detail of that refusal replace those of the error, which is only a consequence; the outcome is
// kept.
func (e *exchange) asRefusal(err error) *refuser.Refusal {
	var refusal, cause *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = &refuser.Refusal{
			Code:    refuser.CodeBusy,
			Outcome: e.defaultOutcome(),
			Detail:  "the request could not be served",
			Cause:   err,
		}
	}
	if e.request.Context().Err() == nil || !errors.As(context.Cause(e.request.Context()), &cause) {
		return refusal
	}
	return &refuser.Refusal{
		Code:    cause.Code,
		Outcome: refusal.Outcome,
		Detail:  cause.Detail,
		RetryAt: cause.RetryAt,
		Cause:   err,
	}
}

// defaultOutcome returns the outcome of a request whose error states none: unknown once it was sent to an upstream.
func (e *exchange) defaultOutcome() refuser.Outcome {
	if e.dispatch.sent.Load() {
		return refuser.Unknown
	}
	return refuser.NotRun
}

// refuse ends the request with a refusal. If nothing was written yet, the refusal is the response. Otherwise a
// completion stream gets it as its last event, and the connection is aborted so that the caller sees an incomplete
// response.
func (e *exchange) refuse(err error) {
	refusal := e.asRefusal(err)
	e.outcome = refusal.Outcome
	e.code = refusal.Code
	e.cause = refusal.Cause
	e.detail = refusal.Detail
	e.finishClaim()
	body := e.encodeError(refusal)
	if !e.responseStarted {
		e.writeRefusal(refusal, body)
		return
	}
	if e.completion != nil && e.completion.stream {
		e.extendWriteDeadline()
		_, _ = e.writer.Write(append(append([]byte("data: "), body...), "\n\n"...))
		_ = e.control.Flush()
	}
	e.status = refusal.Status()
	panic(http.ErrAbortHandler)
}

// encodeError returns the JSON body of a refusal.
func (e *exchange) encodeError(refusal *refuser.Refusal) []byte {
	body, err := json.Marshal(errorResponse{
		Error: errorDetail{
			Message: refusal.Detail,
			Type:    errorType(refusal.Status()),
			Code:    refusal.Code,
			Outcome: refusal.Outcome,
			Request: e.id,
		},
	})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// writeRefusal writes a refusal as the complete response.
func (e *exchange) writeRefusal(refusal *refuser.Refusal, body []byte) {
	e.status = e.statusOf(refusal)
	header := e.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if !refusal.RetryAt.IsZero() {
		header.Set("Retry-After", e.server.config.HeaderFormat.RetryAfter(refusal.RetryAt.Sub(e.server.config.Now())))
	}
	if !e.bodyRead && e.request.ContentLength != 0 {
		// Without this, net/http reads the rest of the body before it writes the response.
		_ = e.control.EnableFullDuplex()
		e.closeConnection()
	}
	e.extendWriteDeadline()
	e.writer.WriteHeader(e.status)
	_, _ = e.writer.Write(body)
	_ = e.control.Flush()
}

// statusOf returns the HTTP status of a refusal. For routed requests the status alone states whether the request ran: server errors
// that did not run get 503.
func (e *exchange) statusOf(refusal *refuser.Refusal) int {
	status := refusal.Status()
	if e.routed && refusal.Outcome == refuser.NotRun && status >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return status
}

// finishClaim finishes the claim before the response is written, so that the caller can repeat a call that did not
// run and finds the claim free.
func (e *exchange) finishClaim() {
	if e.claim != nil {
		e.claim.Finish(e.outcome)
	}
}

// retryAfter formats a duration in whole seconds, at least one.
func retryAfter(delay time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(delay.Seconds()))))
}
