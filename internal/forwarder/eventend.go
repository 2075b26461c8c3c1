package forwarder

import (
	"bytes"
	"mime"
	"net/http"
)

// eventStreamType is the media type of streams of events.
const eventStreamType = "text/event-stream"

// tailBytes is how much of a stream's end is needed to see whether it ends with an event.
const tailBytes = 3

// eventEnd tells whether a stream of events ends after an event, which a blank line ends.
type eventEnd struct {
	// checked is set if the answer is a successful stream of events.
	checked bool
	// delimited is set if the answer is delimited.
	delimited bool
	// tail holds the last bytes.
	tail []byte
}

func newEventEnd(response *http.Response) *eventEnd {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return &eventEnd{
		checked:   err == nil && mediaType == eventStreamType && response.StatusCode < http.StatusMultipleChoices,
		delimited: delimited(response),
	}
}

// delimited reports whether something other than the end of the connection ends an answer.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// add records a part of the answer.
func (e *eventEnd) add(part []byte) {
	e.tail = append(e.tail, part[max(0, len(part)-tailBytes):]...)
	e.tail = e.tail[max(0, len(e.tail)-tailBytes):]
}

// complete reports whether the answer may end here.
func (e *eventEnd) complete() bool {
	if !e.checked || len(e.tail) == 0 && e.delimited {
		return true
	}
	return bytes.HasSuffix(e.tail, []byte("\n\n")) || bytes.HasSuffix(e.tail, []byte("\n\r\n")) || bytes.HasSuffix(e.tail, []byte("\r\r"))
}
