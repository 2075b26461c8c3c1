package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// serveCompletions handles a completion or chat completion request.
func (s *Server) serveCompletions(w http.ResponseWriter, r *http.Request) {
	e := s.begin(w, r)
	defer e.end()
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		e.refuse(newRefusal(refuser.CodeBadRequest, "the method must be POST"))
		return
	}
	if refusal := e.setDeadlineAndClass(); refusal != nil {
		e.refuse(refusal)
		return
	}
	if _, err := s.admitCompletion(e.request.Context(), e); err != nil {
		e.refuse(err)
		return
	}
	if err := e.forwardWithRetries(e.request.Context()); err != nil {
		e.refuse(err)
		return
	}
	e.outcome = refuser.Done
}

// forwardCompletion sends the request to the chosen engine and relays the response to the caller.
func (e *exchange) forwardCompletion(ctx context.Context) error {
	name := e.version.Checkpoint
	if e.adapter.Name != "" {
		name = e.adapter.Name
	}
	body, err := e.completion.encode(name, prefixName(e.need.Prefix))
	if err != nil {
		return badRequest("the body cannot be encoded")
	}
	choice := e.choice
	e.choice = nil
	e.dispatch.forward()
	e.result, err = e.server.config.Forwarder.Complete(ctx, &forwarder.Completion{
		Request:      e.id,
		Path:         e.request.URL.Path,
		Body:         body,
		Stream:       e.completion.stream,
		IncludeUsage: e.completion.includeUsage,
		Class:        string(e.class),
		Need:         e.need,
		Choice:       choice,
		Check:        e.recheck,
		WriteAnswer:  e.writeResponse,
		WriteEvent:   e.writeEvent,
	})
	return err
}

// writeResponse writes a complete, non-streamed response.
func (e *exchange) writeResponse(data []byte) error {
	e.responseStarted = true
	e.status = http.StatusOK
	header := e.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	e.extendWriteDeadline()
	if _, err := e.writer.Write(data); err != nil {
		return err
	}
	// Flush now, so that the caller does not wait while the request is settled and logged.
	return e.control.Flush()
}

// writeEvent writes one server-sent event and flushes it. The first event also writes the header.
func (e *exchange) writeEvent(data []byte) error {
	if !e.responseStarted {
		e.responseStarted = true
		e.status = http.StatusOK
		header := e.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
	}
	e.extendWriteDeadline()
	if _, err := e.writer.Write(data); err != nil {
		return err
	}
	return e.control.Flush()
}

// extendWriteDeadline limits how long the caller may take to read the next write. The deadline is moved only once no
// more than half of Config.ReadTimeout is left of it.
func (e *exchange) extendWriteDeadline() {
	now := e.server.config.Now()
	if e.writeDeadline.Sub(now) > e.server.config.ReadTimeout/2 {
		return
	}
	e.writeDeadline = now.Add(e.server.config.ReadTimeout)
	_ = e.control.SetWriteDeadline(e.writeDeadline)
}

// clearWriteDeadline removes the write deadline, so that it does not hit the next request on the same connection.
func (e *exchange) clearWriteDeadline() {
	if !e.writeDeadline.IsZero() {
		_ = e.control.SetWriteDeadline(time.Time{})
	}
}
