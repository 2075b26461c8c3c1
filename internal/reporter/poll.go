package reporter

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/buckthorngap/buckthorngap/internal/completer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// maxReportBytes is the maximum size of a response to a poll, in bytes.
	maxReportBytes = 1 << 20
	// readTimeoutIntervals is the timeout of one poll, in poll intervals.
	readTimeoutIntervals = 4
)

// loop is a worker that polls the upstreams that are due until the context ends.
func (r *Reporter) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-r.jobs:
			r.poll(ctx, u)
			u.polling.Store(false)
		}
	}
}

// poll reads the report of an upstream and, if Config.OnCacheEvent is set, the cache events of an
// engine. A report that names another upstream is ignored.
func (r *Reporter) poll(ctx context.Context, u *upstreamState) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutIntervals*r.config.Interval)
	defer cancel()
	row := u.row.Load()
	var report Report
	if !r.getJSON(ctx, u, "/v1/load", &report) {
		failedReads.Inc()
		return
	}
	if report.Upstream != "" && report.Upstream != u.name {
		return
	}
	r.accept(u.name, report)
	if r.config.OnCacheEvent != nil && row.Role == storer.RoleEngine {
		r.readEvents(ctx, u, row)
	}
}

// readEvents reads the cache events since the last poll, and passes them to Config.OnCacheEvent.
func (r *Reporter) readEvents(ctx context.Context, u *upstreamState, row *storer.Instance) {
	var events struct {
		Events []struct {
			Sequence uint64 `json:"sequence"`
			Prefix   string `json:"prefix"`
			Stored   bool   `json:"stored"`
		} `json:"events"`
	}
	if !r.getJSON(ctx, u, "/v1/cache/events?after="+strconv.FormatUint(u.lastEvent, 10), &events) {
		return
	}
	for _, event := range events.Events {
		u.lastEvent = max(u.lastEvent, event.Sequence)
		r.config.OnCacheEvent(u.name, event.Prefix, event.Stored)
	}
}

// getJSON reads a JSON document from an upstream, and reports whether that succeeded.
func (r *Reporter) getJSON(ctx context.Context, u *upstreamState, path string, into any) bool {
	row := u.row.Load()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+row.Address.String()+path, http.NoBody)
	if err != nil {
		return false
	}
	answer, err := r.config.Client.Do(request)
	r.logRefused(u, err)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return false
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxReportBytes)).Decode(into) == nil
}

// logRefused logs that the head of an upstream's answer exceeds the limit, unless that of the answer before did as well.
func (r *Reporter) logRefused(u *upstreamState, err error) {
	var tooLarge *completer.HeadTooLarge
	refused := errors.As(err, &tooLarge)
	if refused && !u.refused && r.config.Log != nil {
		r.config.Log.WithField("upstream", u.name).WithError(err).Warn("report.refused")
	}
	u.refused = refused
}
