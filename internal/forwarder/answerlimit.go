package forwarder

import (
	"bytes"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// answerLimit limits the size of one answer and of its lines, because a faulty
// upstream may send bytes without end.
type answerLimit struct {
	// maxBytes is the maximum size of the answer, and remaining the part of it that is
	// left, in bytes.
	maxBytes  int64
	remaining int64
	// maxLine is the maximum length of a line, or zero for no limit, and lineLength the
	// length of the current line, in bytes.
	maxLine    int
	lineLength int
}

// newAnswerLimit returns the limits of one answer; a maxLine of zero leaves lines unlimited.
func (f *Forwarder) newAnswerLimit(maxLine int) *answerLimit {
	return &answerLimit{
		maxBytes:  f.config.MaxAnswerBytes,
		remaining: f.config.MaxAnswerBytes,
		maxLine:   maxLine,
	}
}

// count counts a part of the answer. It returns *AnswerTooLarge or *EventTooLarge
// once a limit is exceeded.
func (a *answerLimit) count(part []byte) error {
	a.remaining -= int64(len(part))
	if a.remaining < 0 {
		return &AnswerTooLarge{
			Bytes: a.maxBytes,
		}
	}
	if a.maxLine == 0 {
		return nil
	}
	if end := bytes.LastIndexByte(part, '\n'); end >= 0 {
		a.lineLength = len(part) - end - 1
	} else {
		a.lineLength += len(part)
	}
	if a.lineLength > a.maxLine {
		return &EventTooLarge{
			Bytes: a.maxLine,
		}
	}
	return nil
}

// limitExceeded returns the failure of an answer that exceeds a limit.
func limitExceeded(cause error, begun bool) *failure {
	return &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: "the upstream sends more than is allowed",
		final:  begun,
		cause:  cause,
	}
}
