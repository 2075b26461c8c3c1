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
	"github.com/buckthorngap/buckthorngap/internal/quarantiner"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// serveRouted handles a request that a route of the configuration maps to a service by host and path. Method, target
// and body are forwarded unchanged.
func (s *Server) serveRouted(w http.ResponseWriter, r *http.Request) {
	e := s.begin(w, r)
	defer e.end()
	e.routed = true
	if !s.config.ConfigReady() {
		e.refuse(s.startingRefusal())
		return
	}
	if _, err := s.admitRouted(e.request.Context(), e); err != nil {
		e.refuse(err)
		return
	}
	if err := e.forwardRouted(e.request.Context()); err != nil {
		e.refuse(err)
		return
	}
	e.outcome = refuser.Done
}

// matchRoute finds the route, reads the facts in the header and sets the deadlines: deadline for the response, and
// startBy for reaching an upstream.
func (s *Server) matchRoute(next endpoint.Endpoint) endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		e := request.(*exchange)
		path, _, _ := strings.Cut(e.request.RequestURI, "?")
		e.logReceived(path)
		if refusal := refuseTarget(e.request); refusal != nil {
			return nil, refusal
		}
		route, ok := s.config.Snapshot().RouteFor(hostName(e.request), path)
		e.route = route
		e.logRouted(ok)
		if !ok {
			return nil, newRefusal(refuser.CodeNoRoute, "no route leads to the path")
		}
		e.dispatch.atMostOnce = route.Once
		facts, err := s.config.HeaderFormat.Parse(e.request.Header, e.started)
		if err != nil {
			return nil, newRefusal(refuser.CodeBadRequest, err.Error())
		}
		e.facts = facts
		deadline := facts.Deadline
		if deadline.IsZero() {
			deadline = e.started.Add(s.config.InteractiveTimeout)
		}
		if bound := e.started.Add(route.Timeout); route.Timeout > 0 && bound.Before(deadline) {
			deadline = bound
		}
		if !deadline.After(e.started) {
			return nil, newRefusal(refuser.CodeDeadline, "the deadline has passed")
		}
		e.applyDeadline(deadline)
		e.startBy = deadline
		if bound := e.started.Add(route.Patience); route.Patience > 0 && bound.Before(deadline) {
			e.startBy = bound
		}
		ctx, cancel := context.WithDeadline(e.request.Context(), e.startBy)
		defer cancel()
		return next(ctx, e)
	}
}

// refuseTarget refuses a request whose target is no path, such as an absolute address or "*", or cannot be sent on unchanged.
func refuseTarget(r *http.Request) *refuser.Refusal {
	switch {
	case r.Method == http.MethodConnect:
		return newRefusal(refuser.CodeBadRequest, "the method CONNECT is not served")
	case !strings.HasPrefix(r.RequestURI, "/"):
		return newRefusal(refuser.CodeBadRequest, "the target must be a path")
	case !forwarder.Forwardable(r.RequestURI):
		return newRefusal(refuser.CodeBadRequest, "the target has characters that must be escaped")
	}
	return nil
}

// hostName returns the host of a request, without port and in lower case.
func hostName(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// receiveBody reads the body of a routed request.
func (s *Server) receiveBody(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		if refusal := e.readBody(); refusal != nil {
			return nil, refusal
		}
		e.recognized = quarantiner.Request{
			Parts: sharedParts(e.facts.Parts),
			Whole: quarantiner.IdentifyWhole(e.key.Team, e.request.RequestURI, e.body),
		}
		return next(ctx, e)
	}
}

// resolveRouted picks the target service and, for engines, looks up model, version and adapter. The result is what the
// request needs of an upstream.
func (s *Server) resolveRouted(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		snapshot := s.config.Snapshot()
		// A stream that goes on stays at the service that began it.
		e.service, _ = snapshot.Service(e.route.Target(hashText(fnvOffset, e.stream())))
		e.need = router.Need{
			Service: e.service.Name,
		}
		if refusal := e.restrictDomains(e.route.Regions); refusal != nil {
			e.logResolved()
			return nil, refusal
		}
		e.awaitEvidence(ctx)
		if refusal := e.refuseIfQuarantined(); refusal != nil {
			e.logResolved()
			return nil, refusal
		}
		if e.service.Engine == nil || e.facts.Model == "" {
			e.logResolved()
			return next(ctx, e)
		}
		if refusal := e.restrictVersion(ctx); refusal != nil {
			e.logResolved()
			return nil, refusal
		}
		model, ok := snapshot.Model(e.facts.Model)
		if !ok {
			return nil, newRefusal(refuser.CodeNoModel, "the model is not known")
		}
		e.model = model
		if e.facts.Adapter != "" {
			if e.adapter, ok = snapshot.Adapter(model.Name + "/" + e.facts.Adapter); !ok {
				return nil, newRefusal(refuser.CodeNoModel, "the adapter is not known")
			}
		}
		if e.version, ok = snapshot.Version(model.Name, model.Version); !ok {
			return nil, newRefusal(refuser.CodeNoModel, "the model has no version")
		}
		e.need.Checkpoint = e.version.Checkpoint
		e.need.Adapter = e.adapter.Name
		e.need.AllowMissingAdapter = s.config.LoadAdapter != nil
		e.need.Tokens = e.facts.PromptTokens + e.facts.AnswerTokens
		e.need.Parts = e.promptParts()
		e.logResolved()
		return next(ctx, e)
	}
}

// sharedParts returns the names of all parts of a prompt but the last.
func sharedParts(parts []router.PromptPart) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	names := make([]uint64, len(parts)-1)
	for i := range names {
		names[i] = parts[i].Name
	}
	return names
}

// promptParts returns the parts of the prompt, with hashes that are specific to the model and adapter. A prompt without
// stated parts counts as one part that matches no other request.
func (e *exchange) promptParts() []router.PromptPart {
	salt := hashText(fnvOffset, e.need.Checkpoint, e.need.Adapter)
	if len(e.facts.Parts) == 0 {
		return []router.PromptPart{
			{
				Hash:   hashText(salt, e.id),
				Tokens: max(1, e.facts.PromptTokens),
			},
		}
	}
	parts := make([]router.PromptPart, len(e.facts.Parts))
	for i, part := range e.facts.Parts {
		parts[i] = router.PromptPart{
			Hash:   part.Hash ^ salt,
			Tokens: part.Tokens,
		}
	}
	return parts
}

// reserveRouted reserves the request's tokens from its team's limit: the stated counts, 1 for teams with a flat charge,
// or the team's default charge if the caller stated no counts.
func (s *Server) reserveRouted(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		if !e.authenticated {
			return next(ctx, e)
		}
		e.tokens = e.facts.PromptTokens + e.facts.AnswerTokens
		team, _ := s.config.Snapshot().Team(e.key.Team)
		switch {
		case team.Flat:
			e.tokens = 1
		case !e.facts.HasTokenCounts:
			e.tokens = team.Charge
		}
		began := s.config.Now()
		budgetCtx, cancel := e.budgetContext(ctx)
		defer cancel()
		reservation, err := s.config.Reserve(budgetCtx, limiter.Request{
			Team:   e.key.Team,
			Tokens: e.tokens,
			Rank:   e.route.Priority,
		})
		e.logReserved(began, err)
		if err != nil {
			return nil, err
		}
		e.reservation = reservation
		return next(ctx, e)
	}
}

// budgetContext limits the wait for the team's limit to half of the route's objective. After that the response would
// be late anyway, and longer waits would only make every queued request late.
func (e *exchange) budgetContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if e.route.Objective <= 0 {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, e.started.Add(e.route.Objective/2))
}

// refuseIfNotReady refuses a routed request at once if no engine will have its model in time: it would wait only to be
// refused. StartLoad starts a load if no engine holds the model.
func (e *exchange) refuseIfNotReady(ctx context.Context) *refuser.Refusal {
	config := &e.server.config
	if !e.routed {
		return nil
	}
	if refusal := e.server.refuseCooling(e.need); refusal != nil {
		return refusal
	}
	if refusal := e.refuseIfNotServed(); refusal != nil {
		return refusal
	}
	if e.need.Checkpoint == "" {
		return e.refuseIfAway()
	}
	if config.CountReady == nil || config.CountReady(e.need) > 0 {
		return nil
	}
	refusal := newRefusal(refuser.CodeNoUpstream, "no engine has the model")
	if config.StartLoad == nil {
		return refusal
	}
	at, loading := e.startLoad(ctx)
	if loading && at.Before(e.startBy) {
		return nil
	}
	refusal.RetryAt = at
	return refusal
}

// RefuseCooling returns a refusal for a request in the queue if all upstreams that could run it are cooling down after failures
// or want no requests, and nil otherwise.
func (s *Server) RefuseCooling(ticket queuer.Ticket) *refuser.Refusal {
	need, ok := ticket.Value.(router.Need)
	if !ok {
		return nil
	}
	return s.refuseCooling(need)
}

// refuseCooling refuses a request at once that would wait only to be refused.
func (s *Server) refuseCooling(need router.Need) *refuser.Refusal {
	if s.config.CooldownEnd == nil {
		return nil
	}
	until, cooling := s.config.CooldownEnd(need)
	if !cooling {
		return nil
	}
	refusal := newRefusal(refuser.CodeNoUpstream, "all upstreams of the request rest after failures or want no requests")
	refusal.RetryAt = until
	return refusal
}

// forwardRouted loads a missing adapter, sends the request to the chosen upstream and relays the response.
func (e *exchange) forwardRouted(ctx context.Context) error {
	if err := e.loadMissingAdapter(ctx); err != nil {
		return err
	}
	if refusal := e.refuseIfQuarantined(); refusal != nil {
		return refusal
	}
	choice := e.choice
	e.choice = nil
	e.dispatch.forward()
	server := e.server
	var err error
	e.result, err = server.config.Forwarder.Route(ctx, &forwarder.RoutedRequest{
		Request:  e.id,
		Identity: e.facts.Identity,
		Method:   e.request.Method,
		Target:   e.request.RequestURI,
		Host:     e.request.Host,
		Header:   forwarder.RoutedHeader(e.request.Header, server.config.HeaderFormat.ReservedFields, e.secrets...),
		Body:     e.body,
		Metadata: forwarder.RequestMetadata{
			Team:        e.key.Team,
			Priority:    e.priority(),
			LastEventID: e.facts.LastEventID,
		},
		Repeatable:      !e.route.Once && (!e.route.Stream || e.route.Resumable),
		Stream:          e.route.Stream,
		MaxAttempts:     e.route.Attempts,
		Choice:          choice,
		PickNext:        e.nextUpstream,
		Reacquire:       func(upstream string) (*router.Choice, bool) { return e.reacquire(ctx, upstream) },
		Await:           e.awaitFunction(),
		ReportNotLoaded: e.markMissing,
		ReportStream:    e.reportStream,
		ReportBegun:     e.reportBegun,
		ReportComplete:  e.reportComplete,
		ReportBroken:    e.reportBroken,
		Check:           e.recheck,
		Begin:           e.startRoutedResponse,
		Write:           e.writeRoutedPart,
	})
	return e.withLimitRetry(err)
}

// markMissing records that an upstream does not hold the checkpoint or adapter of the request, so that no other
// request is sent there for it.
func (e *exchange) markMissing(upstream string) {
	if e.need.Checkpoint != "" && e.server.config.SetLoaded != nil {
		e.server.config.SetLoaded(upstream, e.need.Checkpoint, e.need.Adapter, false)
	}
}

// nextUpstream chooses an upstream for a retry. It must already hold everything that the request needs, since nothing
// is loaded for a retry.
func (e *exchange) nextUpstream(tried []string) (*router.Choice, bool) {
	need := e.need
	need.Exclude = tried
	need.AllowMissingAdapter = false
	return e.server.config.Place(need)
}

// priority returns the priority of the request: that of its team if the team has one, else that of the route.
func (e *exchange) priority() int {
	if team, ok := e.server.config.Snapshot().Team(e.key.Team); ok && team.Ranked {
		return team.Priority
	}
	return e.route.Priority
}

// startRoutedResponse writes the status and header of an upstream's response.
func (e *exchange) startRoutedResponse(status int, header http.Header, length int64) {
	responseHeader := e.writer.Header()
	// A nil value keeps net/http from adding these fields, which the upstream did not send.
	responseHeader["Date"] = nil
	responseHeader["Content-Type"] = nil
	if length >= 0 {
		responseHeader.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	e.startResponse(status, header)
}

// writeRoutedPart writes a part of the body and, for streams, flushes it.
func (e *exchange) writeRoutedPart(data []byte) error {
	if err := e.writePart(data); err != nil || !e.route.Stream {
		return err
	}
	return e.control.Flush()
}

// addRouteFields adds the log fields of routed requests.
func (e *exchange) addRouteFields(fields logrus.Fields) {
	fields["route"] = e.route.Name
	fields["revision"] = e.server.config.Snapshot().Revision()
	if !e.deadline.IsZero() {
		fields["left"] = e.timeLeft()
	}
	if !e.result.FirstTokenAt.IsZero() {
		fields["first"] = e.result.FirstTokenAt.Sub(e.started).Round(time.Millisecond)
	}
}
