package server

import (
	"cmp"
	"context"
	"errors"

	"github.com/buckthorngap/buckthorngap/internal/resumer"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Streams has the functions that keep a stream which may be resumed at the software version that began it. All are set, or
// none.
type Streams struct {
	// Versions returns the versions of a service at which new streams may begin.
	Versions func(service string) []string
	// Resume returns the version at which a broken stream goes on, given the identity of the attempt that brought its first
	// event. It returns *resumer.Unknown or *resumer.Gone.
	Resume func(ctx context.Context, service, stream string) (string, error)
	// ReportBegun is called with the identity of an attempt and the version that brings its first event.
	ReportBegun func(stream, version string)
}

// restrictVersion restricts a stream that may be resumed, or goes on, to the versions at which it may run. It refuses one
// whose version is not known or not served.
func (e *exchange) restrictVersion(ctx context.Context) *refuser.Refusal {
	streams := &e.server.config.Streams
	if streams.Resume == nil || !e.route.Stream || !e.route.Resumable {
		return nil
	}
	e.need.Versioned = true
	if e.facts.LastEventID == "" {
		e.need.Versions = streams.Versions(e.service.Name)
		return nil
	}
	version, err := streams.Resume(ctx, e.service.Name, e.facts.Resumes)
	if err == nil {
		e.need.Versions = []string{version}
		return nil
	}
	refusal := newRefusal(refuser.CodeNoVersion, err.Error())
	refusal.Cause = err
	var unknown *resumer.Unknown
	if errors.As(err, &unknown) && unknown.Outdated {
		refusal.RetryAt = e.server.config.Now().Add(busyRetryDelay)
	}
	return refusal
}

// refuseIfNotServed refuses a stream that goes on at once if no engine of its version has its model.
func (e *exchange) refuseIfNotServed() *refuser.Refusal {
	count := e.server.config.CountCandidates
	if count == nil || !e.need.Versioned || e.facts.LastEventID == "" || count(e.need).Total > 0 {
		return nil
	}
	return newRefusal(refuser.CodeNoVersion, "no engine of the version that began the stream has the model")
}

// stream returns the identity of the stream: that of the attempt that brought its first event, by which its caller names it.
func (e *exchange) stream() string {
	if e.facts.LastEventID != "" && e.facts.Resumes != "" {
		return e.facts.Resumes
	}
	return cmp.Or(e.facts.Identity, e.id)
}

// reportStream records the version that brings the first event of a stream.
func (e *exchange) reportStream(version string) {
	report := e.server.config.Streams.ReportBegun
	if report == nil || !e.route.Resumable {
		return
	}
	report(e.stream(), version)
}
