package runner

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
)

// usage is the JSON object with an answer's token counts.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// encoder writes one answer, either as server-sent events or as one JSON
// object. It appends JSON by hand into a reused buffer.
type encoder struct {
	w       http.ResponseWriter
	flush   func()
	stream  *stream
	id      string
	object  string
	created int64
	text    strings.Builder
	buffer  []byte
}

// newEncoder returns an encoder and sets the response headers. The fault
// Crossed makes the answer carry the identity of another request.
func (r *Runner) newEncoder(w http.ResponseWriter, s *stream) *encoder {
	id := s.id
	if _, ok := r.faults.Take(faulter.Crossed); ok {
		id = "other-" + id
	}
	e := &encoder{
		w:       w,
		stream:  s,
		id:      id,
		object:  "text_completion",
		created: r.created().Unix(),
	}
	if s.chat {
		e.object = "chat.completion"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	if s.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		e.flush = w.(http.Flusher).Flush
	}
	return e
}

// writeToken writes the n-th token, or collects it if the answer is not
// streamed. The id field of an event is the number of tokens sent up to and
// including that event, so that a client can resume after it.
func (e *encoder) writeToken(n int) {
	token := Token(e.stream.seed, n)
	if !e.stream.request.Stream {
		e.text.WriteString(token)
		return
	}
	e.buffer = append(e.buffer[:0], "id: "...)
	e.buffer = strconv.AppendInt(e.buffer, int64(n+1), 10)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = e.appendHeader(e.buffer, ".chunk")
	if e.stream.chat {
		e.buffer = append(e.buffer, `"choices":[{"index":0,"delta":{"content":"`...)
		e.buffer = append(e.buffer, token...)
		e.buffer = append(e.buffer, `"}}]}`...)
	} else {
		e.buffer = append(e.buffer, `"choices":[{"index":0,"text":"`...)
		e.buffer = append(e.buffer, token...)
		e.buffer = append(e.buffer, `"}]}`...)
	}
	e.buffer = append(e.buffer, "\n\n"...)
	_, _ = e.w.Write(e.buffer)
	e.flush()
}

// appendHeader appends the JSON fields that all answers and events start with.
// The suffix is appended to the object's name in chats.
func (e *encoder) appendHeader(to []byte, suffix string) []byte {
	to = append(to, `{"id":"cmpl-`...)
	to = append(to, e.id...)
	to = append(to, `","object":"`...)
	to = append(to, e.object...)
	if e.stream.chat {
		to = append(to, suffix...)
	}
	to = append(to, `","created":`...)
	to = strconv.AppendInt(to, e.created, 10)
	to = append(to, `,"model":`...)
	to = strconv.AppendQuote(to, e.stream.request.Model)
	return append(to, ',')
}

// finish ends the answer: it writes the final events of a stream, or the complete answer.
func (e *encoder) finish() {
	count := usage{
		Prompt:     e.stream.promptTokens,
		Completion: e.stream.answerTokens,
		Total:      e.stream.promptTokens + e.stream.answerTokens,
	}
	usageJSON, _ := json.Marshal(count)
	if e.stream.request.Stream {
		e.finishStream(usageJSON)
		return
	}
	e.buffer = e.appendHeader(e.buffer[:0], "")
	text := strconv.AppendQuote(nil, e.text.String())
	if e.stream.chat {
		e.buffer = append(e.buffer, `"choices":[{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":`...)
		e.buffer = append(append(e.buffer, text...), `}}],"usage":`...)
	} else {
		e.buffer = append(e.buffer, `"choices":[{"index":0,"finish_reason":"stop","text":`...)
		e.buffer = append(append(e.buffer, text...), `}],"usage":`...)
	}
	e.buffer = append(append(e.buffer, usageJSON...), '}')
	_, _ = e.w.Write(e.buffer)
}

// finishStream writes the event with the finish reason, the event with the usage if requested, and [DONE].
func (e *encoder) finishStream(usageJSON []byte) {
	e.buffer = append(e.buffer[:0], "data: "...)
	e.buffer = e.appendHeader(e.buffer, ".chunk")
	if e.stream.chat {
		e.buffer = append(e.buffer, `"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`...)
	} else {
		e.buffer = append(e.buffer, `"choices":[{"index":0,"text":"","finish_reason":"stop"}]}`...)
	}
	e.buffer = append(e.buffer, "\n\n"...)
	if e.stream.request.StreamOptions.IncludeUsage {
		e.buffer = append(e.buffer, "data: "...)
		e.buffer = e.appendHeader(e.buffer, ".chunk")
		e.buffer = append(e.buffer, `"choices":[],"usage":`...)
		e.buffer = append(append(e.buffer, usageJSON...), "}\n\n"...)
	}
	e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
	_, _ = e.w.Write(e.buffer)
	e.flush()
}
