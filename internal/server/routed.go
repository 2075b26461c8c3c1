package server

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// byRoute serves a request that the configuration leads to a service by its
// host and path. The request goes on as it came.
func (s *Server) byRoute(w http.ResponseWriter, r *http.Request) {
	p := s.begin(w, r)
	defer p.end()
	p.routed = true
	if !s.config.Known() {
		p.refuse(s.starting())
		return
	}
	if _, err := s.pass(p.request.Context(), p); err != nil {
		p.refuse(err)
		return
	}
	if err := p.travel(p.request.Context()); err != nil {
		p.refuse(err)
		return
	}
	p.outcome = refuser.Done
}

// direct finds the route and reads the facts of the request.
func (s *Server) direct(next endpoint.Endpoint) endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		p := request.(*passage)
		path, _, _ := strings.Cut(p.request.RequestURI, "?")
		p.explainReceipt(path)
		if !strings.HasPrefix(path, "/") {
			return nil, refuse(refuser.CodeBadRequest, "the target must be a path")
		}
		route, ok := s.config.Snapshot().RouteFor(hostOf(p.request), path)
		p.route = route
		p.explainRoute(ok)
		if !ok {
			return nil, refuse(refuser.CodeNoRoute, "no route leads to the path")
		}
		p.once.required = route.Once
		facts, err := s.config.Face.Read(p.request.Header, p.started)
		if err != nil {
			return nil, refuse(refuser.CodeBadRequest, err.Error())
		}
		p.facts = facts
		deadline := facts.Deadline
		if deadline.IsZero() {
			deadline = p.started.Add(s.config.Timeout)
		}
		if bound := p.started.Add(route.Timeout); route.Timeout > 0 && bound.Before(deadline) {
			deadline = bound
		}
		if !deadline.After(p.started) {
			return nil, refuse(refuser.CodeDeadline, "the deadline has passed")
		}
		p.endBy(deadline)
		p.start = deadline
		if bound := p.started.Add(route.Patience); route.Patience > 0 && bound.Before(deadline) {
			p.start = bound
		}
		ctx, cancel := context.WithDeadline(p.request.Context(), p.start)
		defer cancel()
		return next(ctx, p)
	}
}

// hostOf is the host that a request names, without port and in lower case.
func hostOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// take reads the body.
func (s *Server) take(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		if refused := p.read(); refused != nil {
			return nil, refused
		}
		return next(ctx, p)
	}
}

// aim works out what the request needs of an upstream.
func (s *Server) aim(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		snapshot := s.config.Snapshot()
		p.service, _ = snapshot.Service(p.route.Target(hashText(fnvOffset, p.id)))
		p.need = router.Need{
			Service: p.service.Name,
		}
		if p.service.Engine == nil || p.facts.Model == "" {
			p.explainAim()
			return next(ctx, p)
		}
		model, ok := snapshot.Model(p.facts.Model)
		if !ok {
			return nil, refuse(refuser.CodeNoModel, "the model is not known")
		}
		p.model = model
		if p.facts.Adapter != "" {
			if p.adapter, ok = snapshot.Adapter(model.Name + "/" + p.facts.Adapter); !ok {
				return nil, refuse(refuser.CodeNoModel, "the adapter is not known")
			}
		}
		if p.version, ok = snapshot.Version(model.Name, model.Version); !ok {
			return nil, refuse(refuser.CodeNoModel, "the model has no version")
		}
		p.need.Checkpoint = p.version.Checkpoint
		p.need.Adapter = p.adapter.Name
		p.need.AllowMissingAdapter = s.config.Prepare != nil
		p.need.Tokens = p.facts.Prompt + p.facts.Answer
		p.need.Parts = p.parts()
		p.explainAim()
		return next(ctx, p)
	}
}

// parts are the parts of the prompt for the model and adapter. A prompt of
// which no parts are told counts as one part of its own.
func (p *passage) parts() []router.Part {
	salt := hashText(fnvOffset, p.need.Checkpoint, p.need.Adapter)
	if len(p.facts.Parts) == 0 {
		return []router.Part{
			{
				Hash:   hashText(salt, p.id),
				Tokens: max(1, p.facts.Prompt),
			},
		}
	}
	parts := make([]router.Part, len(p.facts.Parts))
	for i, part := range p.facts.Parts {
		parts[i] = router.Part{
			Hash:   part.Hash ^ salt,
			Tokens: part.Tokens,
		}
	}
	return parts
}

// spend takes what the request may use of its team's limit.
func (s *Server) spend(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		if !p.keyed {
			return next(ctx, p)
		}
		p.tokens = p.facts.Prompt + p.facts.Answer
		team, _ := s.config.Snapshot().Team(p.key.Team)
		switch {
		case team.Flat:
			p.tokens = 1
		case !p.facts.Counted:
			p.tokens = team.Charge
		}
		began := s.config.Now()
		soon, cancel := p.soon(ctx)
		defer cancel()
		reservation, err := s.config.Reserve(soon, limiter.Request{
			Team:   p.key.Team,
			Tokens: p.tokens,
			Rank:   p.route.Priority,
		})
		p.explainCharge(began, err)
		if err != nil {
			return nil, err
		}
		p.reservation = reservation
		return next(ctx, p)
	}
}

// soon ends when an answer that waited so long for its team's limit would be
// late. Longer waits only make all of a crowd late.
func (p *passage) soon(ctx context.Context) (context.Context, context.CancelFunc) {
	if p.route.Objective <= 0 {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, p.started.Add(p.route.Objective/2))
}

// futile refuses a request at once if no engine will be ready for it in time.
func (p *passage) futile(ctx context.Context) *refuser.Refusal {
	config := &p.server.config
	if !p.routed {
		return nil
	}
	if refused := p.resting(); refused != nil {
		return refused
	}
	if p.need.Checkpoint == "" || config.Ready == nil || config.Ready(p.need.Checkpoint) > 0 {
		return nil
	}
	refused := refuse(refuser.CodeNoUpstream, "no engine has the model")
	if config.Expect == nil {
		return refused
	}
	at, known := config.Expect(ctx, p.need.Service, p.need.Checkpoint)
	if known && at.Before(p.start) {
		return nil
	}
	refused.RetryAt = at
	return refused
}

// resting refuses a request at once if all upstreams that could run it have
// just failed: it would wait only to be refused.
func (p *passage) resting() *refuser.Refusal {
	if p.server.config.Rest == nil {
		return nil
	}
	until, rests := p.server.config.Rest(p.need)
	if !rests {
		return nil
	}
	refused := refuse(refuser.CodeNoUpstream, "no upstream of the request can be reached")
	refused.RetryAt = until
	return refused
}

// travel carries the request to its upstream and the answer back.
func (p *passage) travel(ctx context.Context) error {
	if err := p.equip(ctx); err != nil {
		return err
	}
	choice := p.choice
	p.choice = nil
	p.once.sent.Store(true)
	server := p.server
	var err error
	p.result, err = server.config.Forwarder.Route(ctx, &forwarder.RoutedRequest{
		Request:  p.id,
		Identity: p.facts.Identity,
		Method:   p.request.Method,
		Target:   p.request.RequestURI,
		Host:     p.request.Host,
		Header:   forwarder.RoutedHeader(p.request.Header, server.config.Face.Own, p.secrets...),
		Body:     p.body,
		Stamp: forwarder.Stamp{
			Team:     p.key.Team,
			Priority: p.rank(),
			After:    p.facts.After,
		},
		Repeatable: !p.route.Once && (!p.route.Stream || p.route.Resumable),
		Stream:     p.route.Stream,
		Attempts:   p.route.Attempts,
		Choice:     choice,
		Next:       p.another,
		Again:      func(upstream string) (*router.Choice, bool) { return p.again(ctx, upstream) },
		Lacks:      p.lacks,
		Check:      p.check,
		Begin:      p.opening,
		Write:      p.stretch,
	})
	return err
}

// lacks notes that an upstream does not hold what the request needs, so that no
// other request goes there for it.
func (p *passage) lacks(upstream string) {
	if p.need.Checkpoint != "" && p.server.config.Lacks != nil {
		p.server.config.Lacks(upstream, p.need.Checkpoint, p.need.Adapter, false)
	}
}

// another chooses an upstream for a retry; only one that has all that the
// request needs.
func (p *passage) another(tried []string) (*router.Choice, bool) {
	need := p.need
	need.Exclude = tried
	need.AllowMissingAdapter = false
	return p.server.config.Place(need)
}

// rank is the priority of the request: that of its team if it has one.
func (p *passage) rank() int {
	if team, ok := p.server.config.Snapshot().Team(p.key.Team); ok && team.Ranked {
		return team.Priority
	}
	return p.route.Priority
}

// opening begins the answer of an upstream.
func (p *passage) opening(status int, header http.Header, length int64) {
	own := p.writer.Header()
	// net/http would add these, and they would not be the upstream's.
	own["Date"] = nil
	own["Content-Type"] = nil
	if length >= 0 {
		own.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	p.head(status, header)
}

// stretch writes a part of the answer; that of a stream goes off at once.
func (p *passage) stretch(data []byte) error {
	if err := p.part(data); err != nil || !p.route.Stream {
		return err
	}
	return p.control.Flush()
}

// describeRoute adds to the line of a request what decided about it.
func (p *passage) describeRoute(fields logrus.Fields) {
	fields["route"] = p.route.Name
	fields["revision"] = p.server.config.Snapshot().Revision()
	if !p.deadline.IsZero() {
		fields["left"] = p.left()
	}
	if !p.result.First.IsZero() {
		fields["first"] = p.result.First.Sub(p.started).Round(time.Millisecond)
	}
}
