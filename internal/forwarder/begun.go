package forwarder

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/router"
)

// begunAfter is how long after its first byte an answer counts as begun. An engine that crashes as it begins an answer may
// still send a part of it.
const begunAfter = 200 * time.Millisecond

// reportBegun reports that the answer of the current attempt has begun: a stream that goes on, or a complete success.
func (r *routing) reportBegun() {
	if r.reportedBegun || r.routed.ReportBegun == nil || r.firstByteAt.IsZero() || r.result.Status >= http.StatusMultipleChoices {
		return
	}
	r.reportedBegun = true
	r.routed.ReportBegun(r.firstByteAt)
}

// reportEnd reports the end of a complete answer. One that ended with its connection right after it began may have been cut
// off by a crash.
func (r *routing) reportEnd(choice *router.Choice) {
	if r.undelimited {
		if !r.reportedBegun {
			r.reportBreak(choice)
		}
		return
	}
	r.reportBegun()
	if r.routed.ReportComplete != nil {
		r.routed.ReportComplete(r.forwarder.config.Now())
	}
}

// reportBroken reports a connection that broke before the answer was complete.
func (r *routing) reportBroken(choice *router.Choice, failed *failure) {
	if !failed.unsent && connectionBroke(failed.cause) {
		r.reportBreak(choice)
	}
}

func (r *routing) reportBreak(choice *router.Choice) {
	if r.routed.ReportBroken != nil {
		r.routed.ReportBroken(Break{
			Upstream: choice.Upstream,
			Address:  choice.Address,
			Sent:     r.sentAt,
			Begun:    r.reportedBegun,
		})
	}
}

// connectionBroke reports whether an error is that of a connection which the other side closed or reset.
func connectionBroke(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
