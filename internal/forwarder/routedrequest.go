package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/router"
)

// RoutedRequest is a request that is passed to an upstream without interpreting its body,
// with the functions that choose upstreams and deliver the answer.
type RoutedRequest struct {
	// Request is the identity of the request in the log.
	Request string
	// Identity is the request identity in the caller's header. An answer that carries another one is
	// rejected.
	Identity string
	// Method is the HTTP method.
	Method string
	// Target is the path and query exactly as received. It must be Forwardable.
	Target string
	// Host is the host from the caller's request.
	Host string
	// Header holds the caller's header fields that are passed to upstreams.
	Header http.Header
	// Body is the request body.
	Body []byte
	// Metadata is sent to upstreams; TimeLeft and Upstream are set for each attempt.
	Metadata RequestMetadata
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Stream is set if the answer is passed to the caller as it arrives.
	Stream bool
	// MaxAttempts is the maximum number of upstreams that the request is sent to.
	MaxAttempts int
	// Choice is the slot on the upstream of the first attempt.
	Choice *router.Choice
	// PickNext acquires a slot on an upstream that was not tried yet.
	PickNext func(tried []string) (*router.Choice, bool)
	// Reacquire acquires another slot on an upstream that refused the request without running it, for lack
	// of an adapter; nil disables this.
	Reacquire func(upstream string) (*router.Choice, bool)
	// Await waits for an upstream after one stated that it did not run the request, as an engine does that unloads the model
	// and is still listed with it, and returns a refusal if there is none in time. Such attempts do not count against
	// MaxAttempts then; nil disables this.
	Await func(ctx context.Context) (*router.Choice, error)
	// ReportNotLoaded is called with an upstream that has not loaded what the request needs or, if Await is set, unloads it; may
	// be nil.
	ReportNotLoaded func(upstream string)
	// ReportStream is called with the software version of the upstream before the first part of a stream is passed on; may
	// be nil.
	ReportStream func(version string)
	// ReportBegun is called once an attempt's answer has gone on for a while or is complete, with the time at which it
	// began; nil means that nobody needs to know.
	ReportBegun func(at time.Time)
	// ReportComplete is called when an attempt's answer was complete; may be nil.
	ReportComplete func(at time.Time)
	// ReportBroken is called when an attempt's connection broke before that; may be nil.
	ReportBroken func(broken Break)
	// Check returns a refusal if the request must not be sent any more.
	Check func() error
	// Begin delivers the status and header of the answer. The length is that of the
	// body, or negative if it is not known.
	Begin func(status int, header http.Header, length int64)
	// Write delivers a part of the answer, and flushes it if the answer is a stream.
	Write func(part []byte) error
}
