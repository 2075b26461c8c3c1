package forwarder

import (
	"bytes"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// allowance bounds what an upstream may send in answer to one request: one that
// is in trouble may send bytes without end.
type allowance struct {
	// bound is the largest answer and left what remains of it, in bytes.
	bound int64
	left  int64
	// longest is the longest line, and line the length of the present one, in
	// bytes; zero if lines do not matter.
	longest int
	line    int
}

// allowance returns that of one answer, with a bound for its lines.
func (f *Forwarder) allowance(longest int) *allowance {
	return &allowance{
		bound:   f.config.Answer,
		left:    f.config.Answer,
		longest: longest,
	}
}

// take counts a part of the answer. It returns *AnswerTooLarge or *EventTooLarge
// if that was too much.
func (a *allowance) take(part []byte) error {
	a.left -= int64(len(part))
	if a.left < 0 {
		return &AnswerTooLarge{
			Bytes: a.bound,
		}
	}
	if a.longest == 0 {
		return nil
	}
	if end := bytes.LastIndexByte(part, '\n'); end >= 0 {
		a.line = len(part) - end - 1
	} else {
		a.line += len(part)
	}
	if a.line > a.longest {
		return &EventTooLarge{
			Bytes: a.longest,
		}
	}
	return nil
}

// endless is the failure of an upstream that sends more than is allowed.
func endless(cause error, begun bool) *failure {
	return &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: "the upstream sends more than is allowed",
		final:  begun,
		cause:  cause,
	}
}
