package stager

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/stager/stagerpb"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// adapterTimeout bounds a load request for an adapter: a message each way, two orders and the
// load.
const adapterTimeout = 400 * time.Millisecond

// loadRequest is one request to a duty holder, shared by all callers that wait for the same
// load.
type loadRequest struct {
	done chan struct{}
	// ready is when the load will be done, by this instance's clock.
	ready time.Time
	err   error
}

// wait waits for the answer. It returns the error of the request or of the context.
func (r *loadRequest) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinOrStart returns the request under way for a key, or starts one by calling send in a
// goroutine. Send must complete the request, and call forget once its answer must no longer be
// shared.
func (s *Stager) joinOrStart(key string, send func(request *loadRequest)) *loadRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request := s.inFlight[key]; request != nil {
		return request
	}
	request := &loadRequest{
		done: make(chan struct{}),
	}
	s.inFlight[key] = request
	go send(request)
	return request
}

// forget drops the request of a key, so that the next caller starts a new one.
func (s *Stager) forget(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, key)
}

// complete ends a request with the answer of a holder.
func (s *Stager) complete(request *loadRequest, answer *stagerpb.Told, log logrus.FieldLogger) {
	defer close(request.done)
	if answer.GetRefused() == "" {
		request.ready = s.config.Now().Add(time.Duration(answer.GetWait()))
		return
	}
	request.err = s.refusalError(answer)
	log.WithField("reason", answer.GetRefused()).Info("stage.refused")
}

// LoadAdapter loads the adapter that a request needs on the engine that was chosen for the request,
// and returns once the adapter is ready. It returns a *refuser.Refusal if the adapter is not ready
// in time.
func (s *Stager) LoadAdapter(ctx context.Context, choice *router.Choice, need router.Need) error {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	request := s.requestAdapter(ctx, choice.Upstream, need)
	if err := request.wait(ctx); err != nil {
		return refusal(err)
	}
	remaining := request.ready.Sub(s.config.Now())
	if remaining > 0 && !waiter.Pause(ctx, remaining) {
		return refusal(ctx.Err())
	}
	return nil
}

// requestAdapter returns the request for an adapter on an engine, and starts it if none is
// under way.
func (s *Stager) requestAdapter(ctx context.Context, engine string, need router.Need) *loadRequest {
	key := engine + " " + need.Adapter
	return s.joinOrStart(key, func(request *loadRequest) {
		s.sendAdapter(context.WithoutCancel(ctx), key, request, &stagerpb.Ask{
			Engine:     engine,
			Checkpoint: need.Checkpoint,
			Adapter:    need.Adapter,
			Duty:       uint32(s.dutyNumber(engine)),
		})
	})
}

// sendAdapter sends the request for an adapter to the holder of the engine's duty.
func (s *Stager) sendAdapter(ctx context.Context, key string, request *loadRequest, ask *stagerpb.Ask) {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	answer := &stagerpb.Told{}
	if row, ok := s.config.Row(ask.GetEngine()); ok {
		answer = s.sendToDomain(ctx, row.Instance.Domain, ask)
	} else {
		answer.Refused = "the engine is not listed"
	}
	s.forget(key)
	if answer.GetRefused() == "" {
		s.config.SetLoaded(ask.GetEngine(), ask.GetCheckpoint(), ask.GetAdapter(), true)
	}
	s.complete(request, answer, s.config.Log.WithFields(logrus.Fields{
		"engine":  ask.GetEngine(),
		"adapter": ask.GetAdapter(),
	}))
}

// modelTimeout bounds a load request for a model.
const modelTimeout = 300 * time.Millisecond

// AddDemand adds the tokens of a request to the demand for its model and its adapter, if any.
func (s *Stager) AddDemand(checkpoint, adapter string, tokens int64) {
	s.demand.add(checkpoint, tokens)
	if adapter != "" {
		s.demand.add(adapter, tokens)
	}
}

// Attachment returns this instance's demand and recent changes, encoded for its peers. It is sent with each heartbeat.
func (s *Stager) Attachment() []byte { return s.demand.encode() }

// HandleAttachment applies the demand and the changes in the attachment of a peer's heartbeat or answer.
func (s *Stager) HandleAttachment(from messenger.Peer, attachment []byte) {
	changes, err := s.demand.applyEncoded(from.Name, attachment)
	if err != nil {
		s.config.Log.WithField("peer", from.Name).WithError(err).Warn("stage.malformed")
	}
	for _, change := range changes {
		s.removals.record(s.config.Now(), change.GetEngine(), change.GetCheckpoint(), change.GetHeld())
		s.config.SetLoaded(change.GetEngine(), change.GetCheckpoint(), "", change.GetHeld())
	}
}

// recordChange reports a model that this instance has loaded or unloaded to Config.SetLoaded, and
// announces it to the other instances.
func (s *Stager) recordChange(engine, checkpoint string, held bool) {
	s.removals.record(s.config.Now(), engine, checkpoint, held)
	s.config.SetLoaded(engine, checkpoint, "", held)
	s.demand.announce(&stagerpb.Change{
		Engine:     engine,
		Checkpoint: checkpoint,
		Held:       held,
	})
}

// RequestLoad requests the load of the model of a request that no engine holds in the failure domains that the request may go to,
// and returns when the model will be ready and true. If it cannot be loaded, it returns false and when the request may be retried, if
// known.
func (s *Stager) RequestLoad(ctx context.Context, need router.Need) (time.Time, bool) {
	ctx, cancel := context.WithTimeout(ctx, modelTimeout)
	defer cancel()
	request := s.requestModel(ctx, need)
	if err := request.wait(ctx); err != nil {
		return retryTime(err), false
	}
	return request.ready, true
}

// refusalError returns the error for an answer that refuses a load.
func (s *Stager) refusalError(answer *stagerpb.Told) error {
	if answer.GetWait() <= 0 {
		return unavailable(answer.GetRefused())
	}
	return unavailableUntil(answer.GetRefused(), s.config.Now().Add(time.Duration(answer.GetWait())))
}

// requestModel returns the request for a model, and starts it if none is under way. Its answer
// is kept for a while, so that not every caller sends a new request.
func (s *Stager) requestModel(ctx context.Context, need router.Need) *loadRequest {
	key := "model " + need.Checkpoint
	if need.Bound {
		key += " " + strings.Join(need.Domains, " ")
	}
	return s.joinOrStart(key, func(request *loadRequest) {
		s.sendModel(context.WithoutCancel(ctx), key, request, need)
	})
}

// answerTTL is for how long the answer to a request for a model is reused.
const answerTTL = 200 * time.Millisecond

// sendModel sends the request for a model to the holders that may load it, and repeats it until
// the load is done.
func (s *Stager) sendModel(ctx context.Context, key string, request *loadRequest, need router.Need) {
	answer := s.requestFromTargets(ctx, need)
	s.complete(request, answer, s.config.Log.WithField("checkpoint", need.Checkpoint))
	s.awaitLoad(ctx, answer, need)
	s.forget(key)
}

// awaitLoad repeats the request until the model is loaded, and then reports that to Config.SetLoaded.
// After a refusal it returns once answerTTL has passed.
func (s *Stager) awaitLoad(ctx context.Context, answer *stagerpb.Told, need router.Need) {
	for tries := 0; tries < maxFollowUps; tries++ {
		if answer.GetRefused() != "" {
			waiter.Pause(ctx, answerTTL)
			return
		}
		if !waiter.Pause(ctx, max(answerTTL, time.Duration(answer.GetWait()))) {
			return
		}
		if answer.GetWait() == 0 {
			s.config.SetLoaded(answer.GetEngine(), need.Checkpoint, "", true)
			return
		}
		answer = s.requestFromTargets(ctx, need)
	}
}

// maxFollowUps bounds how often a request for a model is repeated.
const maxFollowUps = 20

// requestFromTargets sends the request to the holders of duties, in an order on which all
// instances agree: first those whose engines have the weights in memory or on disk. The next
// holder gets the request if the previous one refuses.
func (s *Stager) requestFromTargets(ctx context.Context, need router.Need) *stagerpb.Told {
	ctx, cancel := context.WithTimeout(ctx, modelTimeout)
	defer cancel()
	answer := &stagerpb.Told{
		Refused: "no engine of the service is listed",
	}
	targets := slices.DeleteFunc(s.targets(need.Service, need.Checkpoint), func(t target) bool { return !need.Admits(t.domain) })
	for i, target := range targets {
		if i >= maxTargets || ctx.Err() != nil {
			break
		}
		answer = s.sendToDomain(ctx, target.domain, &stagerpb.Ask{
			Service:    need.Service,
			Checkpoint: need.Checkpoint,
			Duty:       uint32(target.number),
		})
		if answer.GetRefused() == "" {
			break
		}
	}
	return answer
}

// maxTargets is the number of duties whose holders are sent the request for a model.
const maxTargets = 3
