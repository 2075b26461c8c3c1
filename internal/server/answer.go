package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// completions serves a request for a model.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	p := s.begin(w, r)
	defer p.end()
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		p.refuse(refuse(refuser.CodeBadRequest, "the method must be POST"))
		return
	}
	if refused := p.limit(); refused != nil {
		p.refuse(refused)
		return
	}
	if _, err := s.admit(p.request.Context(), p); err != nil {
		p.refuse(err)
		return
	}
	if err := p.run(p.request.Context()); err != nil {
		p.refuse(err)
		return
	}
	p.outcome = refuser.Done
}

// complete carries the request to its engine and the answer back.
func (p *passage) complete(ctx context.Context) error {
	name := p.version.Checkpoint
	if p.adapter.Name != "" {
		name = p.adapter.Name
	}
	body, err := p.completion.encode(name, Prefix(p.need.Prefix))
	if err != nil {
		return invalid("the body cannot be encoded")
	}
	choice := p.choice
	p.choice = nil
	p.once.sent.Store(true)
	p.result, err = p.server.config.Forwarder.Complete(ctx, &forwarder.Completion{
		Request:  p.id,
		Path:     p.request.URL.Path,
		Body:     body,
		Stream:   p.completion.stream,
		Usage:    p.completion.usage,
		Priority: string(p.class),
		Need:     p.need,
		Choice:   choice,
		Check:    p.check,
		Answer:   p.answer,
		Event:    p.emit,
	})
	return err
}

// answer writes a whole answer.
func (p *passage) answer(data []byte) error {
	p.begun = true
	p.status = http.StatusOK
	header := p.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	p.boundWrite()
	if _, err := p.writer.Write(data); err != nil {
		return err
	}
	// The answer goes off before the request is settled and logged.
	return p.control.Flush()
}

// emit writes one event of a stream and sends it off.
func (p *passage) emit(data []byte) error {
	if !p.begun {
		p.begun = true
		p.status = http.StatusOK
		header := p.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
	}
	p.boundWrite()
	if _, err := p.writer.Write(data); err != nil {
		return err
	}
	return p.control.Flush()
}

// boundWrite bounds how long the caller may take to read what is written now.
func (p *passage) boundWrite() {
	now := p.server.config.Now()
	if p.writeBy.Sub(now) > p.server.config.Reading/2 {
		return
	}
	p.writeBy = now.Add(p.server.config.Reading)
	_ = p.control.SetWriteDeadline(p.writeBy)
}

// unboundWrite ends the bound of the last write, so that it does not strike the next request.
func (p *passage) unboundWrite() {
	if !p.writeBy.IsZero() {
		_ = p.control.SetWriteDeadline(time.Time{})
	}
}
