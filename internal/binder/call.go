package binder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/buckthorngap/buckthorngap/internal/completer"
	"github.com/buckthorngap/buckthorngap/internal/connector"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// call is one call to the service. The key and the lease are those that its errors name.
type call struct {
	path  string
	key   string
	lease storer.LeaseID
	body  any
}

const (
	// firstBackoff is half the longest pause before the first repeat of a read.
	firstBackoff = 50 * time.Millisecond
	// maxAnswerBytes limits what is read of an answer.
	maxAnswerBytes = 64 << 20
)

// NewClient returns a client that sends every request once. net/http resends a request by itself only if
// its body can be rewound, and one that may have arrived only if its method is idempotent or it has an
// idempotency header. Requests here are POST with a body that cannot be rewound and without such a
// header. Redirects are not followed, and HTTP/2, which may resend after GOAWAY, is off.
func NewClient() *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: completer.New(&http.Transport{
			DialContext:         connector.New(0).DialContext,
			Protocols:           &protocols,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     time.Minute,
		}, completer.Config{}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendRead sends a read until it is answered or the attempts are used up, with exponential backoff and
// jitter.
func sendRead[T any](ctx context.Context, b *binding, c call) (T, error) {
	for attempt := 1; ; attempt++ {
		answer, err := sendWithTimeout[T](ctx, b, b.reads, c)
		if !isUnavailable(err) || attempt >= b.config.Attempts || ctx.Err() != nil {
			return answer, err
		}
		maxPause := firstBackoff << attempt
		if !waiter.Pause(ctx, rand.N(maxPause)) {
			return answer, err
		}
	}
}

// sendWrite sends a write exactly once, since a write whose answer is lost may have taken effect.
func sendWrite[T any](ctx context.Context, b *binding, c call) (T, error) {
	return sendWithTimeout[T](ctx, b, b.writes, c)
}

// sendWithTimeout sends a call with the config's timeout, which includes the wait for the budget.
func sendWithTimeout[T any](ctx context.Context, b *binding, limit *rate.Limiter, c call) (T, error) {
	bounded, cancel := context.WithTimeout(ctx, b.config.Timeout)
	defer cancel()
	return sendWithinBudget[T](bounded, b, limit, c)
}

// sendWithinBudget sends a call once the budget allows it.
func sendWithinBudget[T any](ctx context.Context, b *binding, limit *rate.Limiter, c call) (T, error) {
	kind := "read"
	if limit == b.writes {
		kind = "write"
	}
	if err := takeBudget(ctx, limit, kind); err != nil {
		var zero T
		return zero, err
	}
	return exchange[T](ctx, b, c)
}

// takeBudget takes one call out of the budget. It waits if the budget is spent, and fails if the context
// would end before the budget allows the call.
func takeBudget(ctx context.Context, limit *rate.Limiter, kind string) error {
	if limit.Allow() {
		return nil
	}
	metrics.GetOrCreateCounter(`buckthorngap_store_budget_waits_total{kind="` + kind + `"}`).Inc()
	if err := limit.Wait(ctx); err != nil {
		metrics.GetOrCreateCounter(`buckthorngap_store_budget_refusals_total{kind="` + kind + `"}`).Inc()
		return &storer.Unavailable{
			Operation: kind,
			Cause: &OverBudget{
				Kind:  kind,
				Cause: err,
			},
		}
	}
	return nil
}

// exchange sends one HTTP request and decodes its answer.
func exchange[T any](ctx context.Context, b *binding, c call) (T, error) {
	var result T
	metrics.GetOrCreateCounter(`buckthorngap_store_calls_total{path="` + c.path + `"}`).Inc()
	encoded, err := json.Marshal(c.body)
	if err != nil {
		return result, c.unavailable(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.config.URL+c.path, withoutRewind(encoded))
	if err != nil {
		return result, c.unavailable(err)
	}
	request.ContentLength = int64(len(encoded))
	request.Header.Set("Content-Type", "application/json")
	response, err := b.config.Client.Do(request)
	if err != nil {
		b.dropUnused(ctx)
		return result, c.unavailable(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		b.dropUnused(ctx)
		return result, c.unavailable(err)
	}
	if response.StatusCode != http.StatusOK {
		return result, c.failure(response.StatusCode, content)
	}
	if err := json.Unmarshal(content, &result); err != nil {
		return result, c.unavailable(err)
	}
	return result, nil
}

// dropUnused closes the unused connections after a failure, unless the caller gave up: what made one connection silent has
// often made silent those beside it.
func (b *binding) dropUnused(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		b.config.Client.CloseIdleConnections()
	}
}

// withoutRewind hides the reader's type, from which net/http would set GetBody and so be able to rewind the
// body.
func withoutRewind(content []byte) io.Reader {
	return struct{ io.Reader }{
		Reader: bytes.NewReader(content),
	}
}

// unavailable counts a call without a usable answer and returns *storer.Unavailable for it.
func (c call) unavailable(cause error) error {
	metrics.GetOrCreateCounter(`buckthorngap_store_errors_total{path="` + c.path + `"}`).Inc()
	return &storer.Unavailable{
		Operation: c.path + " " + c.key,
		Cause:     cause,
	}
}

// failure converts an answer with a status other than 200 to a typed error.
func (c call) failure(status int, content []byte) error {
	var failure Failure
	_ = json.Unmarshal(content, &failure)
	switch failure.Code {
	case CodeAbsent:
		return &storer.Absent{
			Key: c.key,
		}
	case CodeConflict:
		return &storer.Conflict{
			Key:     c.key,
			Current: failure.Current,
		}
	case CodeLapsed:
		return &storer.Lapsed{
			Lease: c.lease,
		}
	}
	return c.unavailable(&Status{
		Status: status,
		Code:   failure.Code,
	})
}
