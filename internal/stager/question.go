package stager

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/stager/stagerpb"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// askTime ends a question about an adapter: a message each way, two orders and
// the load.
const askTime = 400 * time.Millisecond

// question is one question that several requests may wait for.
type question struct {
	done  chan struct{}
	ready time.Time
	err   error
}

// wait waits for the answer. Its error is that of the question or the context.
func (q *question) wait(ctx context.Context) error {
	select {
	case <-q.done:
		return q.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// open returns the question of a key, and begins it if nobody has: ask is to
// answer it and to close it once it no longer counts.
func (s *Stager) open(key string, ask func(asked *question)) *question {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asked := s.asking[key]; asked != nil {
		return asked
	}
	asked := &question{
		done: make(chan struct{}),
	}
	s.asking[key] = asked
	go ask(asked)
	return asked
}

// close lets the next request ask anew.
func (s *Stager) close(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking, key)
}

// conclude answers a question with what a holder told.
func (s *Stager) conclude(asked *question, told *stagerpb.Told, log logrus.FieldLogger) {
	defer close(asked.done)
	if told.GetRefused() == "" {
		asked.ready = s.config.Now().Add(time.Duration(told.GetWait()))
		return
	}
	asked.err = s.refused(told)
	log.WithField("reason", told.GetRefused()).Info("stage.refused")
}

// Prepare has the adapter that a request needs loaded at the engine that was
// chosen for it, and returns once it is ready. It returns a *refuser.Refusal if
// it is not in time.
func (s *Stager) Prepare(ctx context.Context, choice *router.Choice, need router.Need) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	asked := s.ask(ctx, choice.Upstream, need)
	if err := asked.wait(ctx); err != nil {
		return refusal(err)
	}
	rest := asked.ready.Sub(s.config.Now())
	if rest > 0 && !waiter.Pause(ctx, rest) {
		return refusal(ctx.Err())
	}
	return nil
}

// ask returns the question about an adapter, and begins it if nobody has.
func (s *Stager) ask(ctx context.Context, engine string, need router.Need) *question {
	key := engine + " " + need.Adapter
	return s.open(key, func(asked *question) {
		s.run(context.WithoutCancel(ctx), key, asked, &stagerpb.Ask{
			Engine:     engine,
			Checkpoint: need.Checkpoint,
			Adapter:    need.Adapter,
			Duty:       uint32(s.group(engine)),
		})
	})
}

// run asks the holder of the engine's duty.
func (s *Stager) run(ctx context.Context, key string, asked *question, ask *stagerpb.Ask) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	told := &stagerpb.Told{}
	if row, ok := s.config.Row(ask.GetEngine()); ok {
		told = s.reach(ctx, row.Instance.Domain, ask)
	} else {
		told.Refused = "the engine is not listed"
	}
	s.close(key)
	if told.GetRefused() == "" {
		s.config.Note(ask.GetEngine(), ask.GetCheckpoint(), ask.GetAdapter(), true)
	}
	s.conclude(asked, told, s.config.Log.WithFields(logrus.Fields{
		"engine":  ask.GetEngine(),
		"adapter": ask.GetAdapter(),
	}))
}

// reach asks the holder of a duty of a failure domain, of another one through
// its instances.
func (s *Stager) reach(ctx context.Context, domain string, ask *stagerpb.Ask) *stagerpb.Told {
	if domain == s.config.Self.Domain {
		return s.answer(ctx, ask)
	}
	told := &stagerpb.Told{
		Refused: "no instance of " + domain + " is known",
	}
	for _, peer := range s.doors(domain, ask.GetDuty()) {
		told = s.send(ctx, peer, ask)
		if told.GetRefused() == "" || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return told
		}
	}
	return told
}

// doors are up to two instances of another domain to ask, in an order in which
// the questions about different duties begin at different ones.
func (s *Stager) doors(domain string, number uint32) []messenger.Peer {
	members := s.config.Alive(domain)
	peers := make([]messenger.Peer, min(len(members), 2))
	for i := range peers {
		peers[i] = members[(int(number)+i)%len(members)].Peer
	}
	return peers
}

// modelTime ends a question about a model.
const modelTime = 300 * time.Millisecond

// Want counts a request for a model and its adapter, by its tokens.
func (s *Stager) Want(checkpoint, adapter string, tokens int64) {
	s.demand.note(checkpoint, tokens)
	if adapter != "" {
		s.demand.note(adapter, tokens)
	}
}

// Digest is what this instance was asked for, for its peers.
func (s *Stager) Digest() []byte { return s.demand.digest() }

// Deliver takes a peer's digest.
func (s *Stager) Deliver(from messenger.Peer, digest []byte) {
	changes, err := s.demand.take(from.Name, digest)
	if err != nil {
		s.config.Log.WithField("peer", from.Name).WithError(err).Warn("stage.malformed")
	}
	for _, change := range changes {
		s.config.Note(change.GetEngine(), change.GetCheckpoint(), "", change.GetHeld())
	}
}

// changed notes what an order of this instance changed, and tells the others.
func (s *Stager) changed(engine, checkpoint string, held bool) {
	s.config.Note(engine, checkpoint, "", held)
	s.demand.announce(&stagerpb.Change{
		Engine:     engine,
		Checkpoint: checkpoint,
		Held:       held,
	})
}

// Expect asks for a model that no engine holds, and tells when one will. If
// none will, it tells when that may be asked again, if known.
func (s *Stager) Expect(ctx context.Context, service, checkpoint string) (time.Time, bool) {
	ctx, cancel := context.WithTimeout(ctx, modelTime)
	defer cancel()
	asked := s.askModel(ctx, service, checkpoint)
	if err := asked.wait(ctx); err != nil {
		return until(err), false
	}
	return asked.ready, true
}

// refused is the error of an answer that refuses.
func (s *Stager) refused(told *stagerpb.Told) error {
	if told.GetWait() <= 0 {
		return unavailable(told.GetRefused())
	}
	return unavailableUntil(told.GetRefused(), s.config.Now().Add(time.Duration(told.GetWait())))
}

// askModel returns the question about a model, and begins it if nobody has. A
// question stays for a while, so that not every request asks anew.
func (s *Stager) askModel(ctx context.Context, service, checkpoint string) *question {
	key := "model " + checkpoint
	return s.open(key, func(asked *question) {
		s.runModel(context.WithoutCancel(ctx), key, asked, service, checkpoint)
	})
}

// questionRest is for how long an answer about a model counts.
const questionRest = 200 * time.Millisecond

// runModel asks the holder of the duty that is to load a model, and notes when
// it is loaded.
func (s *Stager) runModel(ctx context.Context, key string, asked *question, service, checkpoint string) {
	told := s.place(ctx, service, checkpoint)
	s.conclude(asked, told, s.config.Log.WithField("checkpoint", checkpoint))
	s.follow(ctx, told, service, checkpoint)
	s.close(key)
}

// follow asks again until the model is loaded, and notes that.
func (s *Stager) follow(ctx context.Context, told *stagerpb.Told, service, checkpoint string) {
	for tries := 0; tries < followTries; tries++ {
		if told.GetRefused() != "" {
			waiter.Pause(ctx, questionRest)
			return
		}
		if !waiter.Pause(ctx, max(questionRest, time.Duration(told.GetWait()))) {
			return
		}
		if told.GetWait() == 0 {
			s.config.Note(told.GetEngine(), checkpoint, "", true)
			return
		}
		told = s.place(ctx, service, checkpoint)
	}
}

// followTries bounds how often a question about a model is asked again.
const followTries = 20

// place asks the holders of duties in an order on which all instances agree:
// those first whose engines have the weights at hand. The second is asked if
// the first cannot.
func (s *Stager) place(ctx context.Context, service, checkpoint string) *stagerpb.Told {
	ctx, cancel := context.WithTimeout(ctx, modelTime)
	defer cancel()
	told := &stagerpb.Told{
		Refused: "no engine of the service is listed",
	}
	for i, target := range s.targets(service, checkpoint) {
		if i >= placeTries || ctx.Err() != nil {
			break
		}
		told = s.reach(ctx, target.domain, &stagerpb.Ask{
			Service:    service,
			Checkpoint: checkpoint,
			Duty:       uint32(target.number),
		})
		if told.GetRefused() == "" {
			break
		}
	}
	return told
}

// placeTries is the number of duties whose holders are asked for a model.
const placeTries = 3
