package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// keyBytes is the longest idempotency key, in bytes.
const keyBytes = 256

// service serves a call of a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.config.Snapshot().RouteFor(hostOf(r), r.URL.Path); ok {
		s.byRoute(w, r)
		return
	}
	p := s.begin(w, r)
	defer p.end()
	if refused := p.limit(); refused != nil {
		p.refuse(refused)
		return
	}
	if _, err := s.permit(p.request.Context(), p); err != nil {
		p.refuse(err)
		return
	}
	if err := p.serve(p.request.Context()); err != nil {
		p.refuse(err)
		return
	}
	p.outcome = refuser.Done
}

// find finds the service that the path leads to.
func (s *Server) find(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		service, ok := s.config.Snapshot().ServiceByPath(p.request.URL.Path)
		if !ok {
			return nil, refuse(refuser.CodeNoRoute, "the path leads to no service")
		}
		p.service = service
		p.once.required = slices.Contains(service.Once, p.request.Method)
		return next(ctx, p)
	}
}

// claim reads the call and takes the right to run it, if it must run once.
func (s *Server) claim(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		if !p.service.Open && !s.config.Allows(p.service.Teams, p.key.Team) {
			return nil, refuse(refuser.CodeForbidden, "the service is not open to the team")
		}
		if refused := p.read(); refused != nil {
			return nil, refused
		}
		if forwarder.ContainsSecret(p.secrets, string(p.body)) || forwarder.ContainsSecret(p.secrets, p.request.URL.Path) {
			return nil, refuse(refuser.CodeBadRequest, "the path or the body contains the key")
		}
		s.running.add(p)
		key := p.request.Header.Get("Idempotency-Key")
		if len(key) > keyBytes {
			return nil, refuse(refuser.CodeBadRequest, "the idempotency key is too long")
		}
		if p.once.required && key != "" && s.config.Claim != nil {
			claim, err := s.config.Claim(ctx, claimer.Request{
				Team:     p.key.Team,
				Service:  p.service.Name,
				Key:      key,
				Digest:   p.digest(),
				Deadline: p.deadline,
			})
			if err != nil {
				return nil, err
			}
			p.claim = claim
		}
		return next(ctx, p)
	}
}

// digest identifies the call, so that a repeat can be told from another call.
func (p *passage) digest() string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(p.request.Method + " " + p.request.URL.Path + "\n"))
	_, _ = hash.Write(p.body)
	return hex.EncodeToString(hash.Sum(nil))
}

// pick chooses an instance of the service.
func (s *Server) pick(_ context.Context, request any) (any, error) {
	p := request.(*passage)
	if err := p.check(); err != nil {
		return nil, err
	}
	choice, ok := s.config.PickService(p.service.Name, "", nil)
	if !ok {
		refused := refuse(refuser.CodeNoUpstream, "no instance of the service has room")
		refused.RetryAt = s.config.Now().Add(time.Second)
		return nil, refused
	}
	p.choice = choice
	return p, nil
}

// serve carries the call to the service and the answer back.
func (p *passage) serve(ctx context.Context) error {
	choice := p.choice
	p.choice = nil
	p.once.sent.Store(true)
	var err error
	p.result, err = p.server.config.Forwarder.Serve(ctx, &forwarder.Call{
		Request: p.id,
		Service: p.service.Name,
		Method:  p.request.Method,
		Path:    p.request.URL.Path,
		Escaped: p.request.URL.RawPath,
		Query:   forwarder.StripQuery(p.request.URL.RawQuery, p.secrets...),
		Header:  forwarder.StripHeader(p.request.Header, p.secrets...),
		Body:    p.body,
		Team:    p.key.Team,
		Once:    p.once.required,
		Choice:  choice,
		Check:   p.check,
		Begin:   p.head,
		Write:   p.part,
	})
	return err
}

// head begins the answer of a service or route.
func (p *passage) head(status int, header http.Header) {
	p.begun = true
	p.status = status
	own := p.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	p.boundWrite()
	p.writer.WriteHeader(status)
}

// part writes a part of the answer of a service or route.
func (p *passage) part(data []byte) error {
	p.boundWrite()
	_, err := p.writer.Write(data)
	return err
}
