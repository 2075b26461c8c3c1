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

// problem is the customary form of an error.
type problem struct {
	Error problemBody `json:"error"`
}

type problemBody struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    refuser.Code    `json:"code"`
	Outcome refuser.Outcome `json:"outcome"`
	Request string          `json:"request_id"`
}

// kind is the customary type of an error.
func kind(status int) string {
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

// asRefusal turns any error of a request into its refusal. The reason for
// which the request's context ended goes before what followed from it.
func (p *passage) asRefusal(err error) *refuser.Refusal {
	var refused, cause *refuser.Refusal
	if !errors.As(err, &refused) {
		refused = &refuser.Refusal{
			Code:    refuser.CodeBusy,
			Outcome: p.bare(),
			Detail:  "the request could not be served",
			Cause:   err,
		}
	}
	if p.request.Context().Err() == nil || !errors.As(context.Cause(p.request.Context()), &cause) {
		return refused
	}
	return &refuser.Refusal{
		Code:    cause.Code,
		Outcome: refused.Outcome,
		Detail:  cause.Detail,
		RetryAt: cause.RetryAt,
		Cause:   err,
	}
}

// bare is the outcome of a request of which nothing else is known.
func (p *passage) bare() refuser.Outcome {
	if p.once.sent.Load() {
		return refuser.Unknown
	}
	return refuser.NotRun
}

// refuse ends the request with a refusal: as the whole answer, as the last
// event of a stream, or by breaking the connection if part of an answer has gone.
func (p *passage) refuse(err error) {
	refused := p.asRefusal(err)
	p.outcome = refused.Outcome
	p.code = refused.Code
	p.cause = refused.Cause
	p.detail = refused.Detail
	p.yield()
	body := p.problem(refused)
	if !p.begun {
		p.whole(refused, body)
		return
	}
	if p.completion != nil && p.completion.stream {
		p.boundWrite()
		_, _ = p.writer.Write(append(append([]byte("data: "), body...), "\n\n"...))
		_ = p.control.Flush()
	}
	p.status = refused.Status()
	panic(http.ErrAbortHandler)
}

func (p *passage) problem(refused *refuser.Refusal) []byte {
	body, err := json.Marshal(problem{
		Error: problemBody{
			Message: refused.Detail,
			Type:    kind(refused.Status()),
			Code:    refused.Code,
			Outcome: refused.Outcome,
			Request: p.id,
		},
	})
	if err != nil {
		return []byte("{}")
	}
	return body
}

func (p *passage) whole(refused *refuser.Refusal, body []byte) {
	p.status = p.statusOf(refused)
	header := p.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if !refused.RetryAt.IsZero() {
		header.Set("Retry-After", p.server.config.Face.RetryAfter(refused.RetryAt.Sub(p.server.config.Now())))
	}
	if !p.taken && p.request.ContentLength != 0 {
		// Without this, net/http reads the rest of the body before it answers.
		_ = p.control.EnableFullDuplex()
		p.closing()
	}
	p.boundWrite()
	p.writer.WriteHeader(p.status)
	_, _ = p.writer.Write(body)
	_ = p.control.Flush()
}

// statusOf is the status of a refusal. On routes the status itself tells whether
// the request ran.
func (p *passage) statusOf(refused *refuser.Refusal) int {
	status := refused.Status()
	if !p.routed {
		return status
	}
	promises := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case refused.Outcome == refuser.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case refused.Outcome == refuser.Unknown && promises:
		return http.StatusBadGateway
	default:
		return status
	}
}

// yield ends the claim before the caller is told, so that a repeat of a call
// that did not run finds it free.
func (p *passage) yield() {
	if p.claim != nil {
		p.claim.Finish(p.outcome)
	}
}

// retryAfter is a span in whole seconds, at least one.
func retryAfter(span time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(span.Seconds()))))
}
