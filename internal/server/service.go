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

// maxKeyBytes is the length of the longest idempotency key, in bytes.
const maxKeyBytes = 256

// serveService handles a call to a plain service, or a routed request if a route matches its host and path.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.config.Snapshot().RouteFor(hostName(r), r.URL.Path); ok {
		s.serveRouted(w, r)
		return
	}
	e := s.begin(w, r)
	defer e.end()
	if refusal := e.setDeadlineAndClass(); refusal != nil {
		e.refuse(refusal)
		return
	}
	if _, err := s.admitCall(e.request.Context(), e); err != nil {
		e.refuse(err)
		return
	}
	if err := e.forwardCall(e.request.Context()); err != nil {
		e.refuse(err)
		return
	}
	e.outcome = refuser.Done
}

// findService looks up the service by the path of the request.
func (s *Server) findService(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		service, ok := s.config.Snapshot().ServiceByPath(e.request.URL.Path)
		if !ok {
			return nil, newRefusal(refuser.CodeNoRoute, "the path leads to no service")
		}
		e.service = service
		e.need.Service = service.Name
		e.dispatch.atMostOnce = slices.Contains(service.Once, e.request.Method)
		return next(ctx, e)
	}
}

// claimCall reads the body and, if the call must run at most once and has an idempotency key, claims the right to run
// it.
func (s *Server) claimCall(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		if !e.service.Open && !s.config.Allows(e.service.Teams, e.key.Team) {
			return nil, newRefusal(refuser.CodeForbidden, "the service is not open to the team")
		}
		if refusal := e.restrictDomains(nil); refusal != nil {
			return nil, refusal
		}
		if refusal := e.readBody(); refusal != nil {
			return nil, refusal
		}
		if forwarder.ContainsSecret(e.secrets, string(e.body)) || forwarder.ContainsSecret(e.secrets, e.request.URL.Path) {
			return nil, newRefusal(refuser.CodeBadRequest, "the path or the body contains the key")
		}
		e.admitted.Store(true)
		key := e.request.Header.Get("Idempotency-Key")
		if len(key) > maxKeyBytes {
			return nil, newRefusal(refuser.CodeBadRequest, "the idempotency key is too long")
		}
		if e.dispatch.atMostOnce && key != "" && s.config.Claim != nil {
			claim, err := s.config.Claim(ctx, claimer.Request{
				Team:     e.key.Team,
				Service:  e.service.Name,
				Key:      key,
				Digest:   e.digest(),
				Deadline: e.deadline,
			})
			if err != nil {
				return nil, err
			}
			e.claim = claim
		}
		return next(ctx, e)
	}
}

// digest returns a hash of the call, which tells a repeat from a different call with the same idempotency key.
func (e *exchange) digest() string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(e.request.Method + " " + e.request.URL.Path + "\n"))
	_, _ = hash.Write(e.body)
	return hex.EncodeToString(hash.Sum(nil))
}

// pickInstance chooses an instance of the service.
func (s *Server) pickInstance(ctx context.Context, request any) (any, error) {
	e := request.(*exchange)
	if err := e.recheck(); err != nil {
		return nil, err
	}
	choice, ok := s.config.AwaitService(ctx, e.service.Name)
	if !ok {
		refusal := newRefusal(refuser.CodeNoUpstream, "no instance of the service has room")
		refusal.RetryAt = s.config.Now().Add(time.Second)
		e.setLimitRetry(refusal)
		return nil, refusal
	}
	e.choice = choice
	return e, nil
}

// forwardCall sends the call to the chosen instance and relays the response.
func (e *exchange) forwardCall(ctx context.Context) error {
	choice := e.choice
	e.choice = nil
	e.dispatch.forward()
	var err error
	e.result, err = e.server.config.Forwarder.Serve(ctx, &forwarder.Call{
		Request: e.id,
		Service: e.service.Name,
		Method:  e.request.Method,
		Path:    e.request.URL.Path,
		Escaped: e.request.URL.RawPath,
		Query:   forwarder.StripQuery(e.request.URL.RawQuery, e.secrets...),
		Header:  forwarder.StripHeader(e.request.Header, e.secrets...),
		Body:    e.body,
		Team:    e.key.Team,
		Once:    e.dispatch.atMostOnce,
		Choice:  choice,
		Check:   e.recheck,
		Begin:   e.startResponse,
		Write:   e.writePart,
	})
	return err
}

// startResponse writes the status and header of a service's or route's response.
func (e *exchange) startResponse(status int, header http.Header) {
	e.responseStarted = true
	e.status = status
	responseHeader := e.writer.Header()
	for name, values := range header {
		responseHeader[name] = values
	}
	e.extendWriteDeadline()
	e.writer.WriteHeader(status)
}

// writePart writes a part of the body of a service's or route's response.
func (e *exchange) writePart(data []byte) error {
	e.extendWriteDeadline()
	_, err := e.writer.Write(data)
	return err
}
