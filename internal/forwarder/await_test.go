package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/balancer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	misdirected = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	notRun      = "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" + closeConnection
	failed      = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
)

// TestRefusedAttemptDoesNotCount checks that a request that may run on one upstream only goes on after an upstream stated that
// it did not run it: to another upstream or, if there is none, to the one that it waits for.
func TestRefusedAttemptDoesNotCount(t *testing.T) {
	later := time.Unix(2000, 0)
	for name, test := range map[string]struct {
		// replies are those of each upstream's requests in order; the last one repeats, and an empty one is a good answer.
		replies [][]string
		// awaits is how often the request may wait in vain for an upstream but its first; negative means not at all.
		awaits   int
		status   int
		requests int
		retryAt  time.Time
	}{
		"another upstream is tried first": {
			replies:  [][]string{{misdirected}, {misdirected}},
			awaits:   0,
			status:   503,
			requests: 2,
			retryAt:  later,
		},
		"the upstream has the model again": {
			replies:  [][]string{{notRun, ""}},
			awaits:   1,
			status:   200,
			requests: 2,
		},
		"refused again and again": {
			replies:  [][]string{{notRun}},
			awaits:   10,
			status:   503,
			requests: 4,
		},
		"none in time": {
			replies:  [][]string{{notRun}},
			awaits:   0,
			status:   503,
			requests: 1,
			retryAt:  later,
		},
		"it may have run": {
			replies:  [][]string{{failed}},
			awaits:   10,
			status:   500,
			requests: 1,
		},
		"not for a service": {
			replies:  [][]string{{notRun, ""}},
			awaits:   -1,
			status:   503,
			requests: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			var upstreams []*rawUpstream
			for _, replies := range test.replies {
				u := newRawUpstream(t, func(n int, request *http.Request) string {
					if reply := replies[min(n, len(replies))-1]; reply != "" {
						return reply
					}
					return okAnswer(request)
				})
				upstreams, addresses = append(upstreams, u), append(addresses, u.address())
			}
			h := newHarness(forwarder.Config{}, addresses...)
			c := newRouted()
			c.Repeatable = false
			c.MaxAttempts = 1
			if test.awaits >= 0 {
				c.Await = func(context.Context) (*router.Choice, error) {
					if test.awaits--; test.awaits < 0 {
						return nil, &refuser.Refusal{
							Code:    refuser.CodeNoUpstream,
							RetryAt: later,
						}
					}
					choice, ok := h.router.Pick(router.Need{
						Service: "depot",
					})
					is.True(ok)
					return choice, nil
				}
			}
			got := h.route(t.Context(), t, c)
			requests := 0
			for _, u := range upstreams {
				requests += u.requests()
			}
			is.Equal(requests, test.requests)
			if got.refused != nil {
				is.Equal(test.status, 503)
				is.Equal(got.refused.Outcome, refuser.NotRun)
				is.Equal(got.refused.RetryAt, test.retryAt)
				return
			}
			is.Equal(got.status, test.status)
		})
	}
}

// TestEngineThatUnloadsIsReported checks that an engine that refuses a request although it has free slots counts as one without
// the model, so that this instance sends it no more, and a full one does not.
func TestEngineThatUnloadsIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		load     balancer.Load
		awaits   bool
		reported bool
	}{
		"it has free slots": {
			load: balancer.Load{
				Running: 3,
				Slots:   4,
			},
			awaits:   true,
			reported: true,
		},
		"it is full": {
			load: balancer.Load{
				Running: 4,
				Slots:   4,
			},
			awaits: true,
		},
		"requests wait there": {
			load: balancer.Load{
				Running: 3,
				Waiting: 1,
				Slots:   4,
			},
			awaits: true,
		},
		"it runs no models": {
			load: balancer.Load{
				Slots: 4,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialect := forwarder.OwnDialect()
			dialect.ReadAnswer = func(http.Header) forwarder.AnswerMetadata {
				return forwarder.AnswerMetadata{
					NotRun:  true,
					HasLoad: true,
					Load:    test.load,
				}
			}
			u := newRawUpstream(t, func(int, *http.Request) string { return notRun })
			c := newRouted()
			reported := false
			c.ReportNotLoaded = func(string) { reported = true }
			if test.awaits {
				c.Await = func(context.Context) (*router.Choice, error) { return nil, &refuser.Refusal{} }
			}
			_ = newHarness(forwarder.Config{
				Dialect: dialect,
			}, u.address()).route(t.Context(), t, c)
			is.Equal(reported, test.reported)
		})
	}
}
