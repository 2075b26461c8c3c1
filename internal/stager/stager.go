// Package stager loads the models and adapters that waiting requests need onto engines: adapters
// on demand within milliseconds, and models in place of models with less demand.
//
// The engines of a failure domain are partitioned over duties (roles that one instance holds
// under a lease), so that each engine takes orders from one holder at a time. Each order
// carries the number of orders that the engine has accepted so far. The engine refuses an
// order that arrives after another one was accepted, so that nothing has to be recorded before
// an order is sent.
package stager

import (
	"context"
	"hash/fnv"
	"iter"
	"maps"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/delegator"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/stager/stagerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Topic is the topic of load messages between instances, and the prefix of the names of the
// duties.
const Topic = "stage"

// Stager requests loads from the holders of duties, and decides about loads for the engines
// whose duty this instance holds.
type Stager struct {
	config    Config
	demand    *demand
	removals  *removals
	delegator *delegator.Delegator

	mu sync.Mutex
	// views holds what is known of each engine, by its name.
	views map[string]*view
	// inFlight holds the load requests under way, by what they request.
	inFlight map[string]*loadRequest
	// termStarts holds the last term in which this instance held each duty, by the duty's name.
	termStarts map[string]termStart
	// limiters bound the loads from the weight store that each duty starts, by the duty's
	// name.
	limiters map[string]*loadLimiter
}

// termStart records when this instance first noticed a term in which it holds a duty, and the
// term's epoch, which is its fencing token.
type termStart struct {
	epoch   uint64
	noticed time.Time
}

// New returns a Stager that knows no engine yet. Run must be called to keep its views up to
// date.
func New(config Config) *Stager {
	config = config.withDefaults()
	return &Stager{
		config:   config,
		demand:   newDemand(config.Now),
		removals: newRemovals(),
		delegator: delegator.New(delegator.Config{
			Self:        config.Self,
			Topic:       Topic,
			Term:        config.Term,
			Owner:       config.Owner,
			LiveMembers: config.LiveMembers,
			Call:        config.Call,
		}),
		views:      map[string]*view{},
		inFlight:   map[string]*loadRequest{},
		termStarts: map[string]termStart{},
		limiters:   map[string]*loadLimiter{},
	}
}

// Duties returns the names of the duties that the engines of a failure domain are partitioned
// over.
func Duties(groups int) []string {
	names := make([]string, max(1, groups))
	for number := range names {
		names[number] = dutyName(number)
	}
	return names
}

// dutyName returns the name of a duty from its number.
func dutyName(number int) string { return Topic + "/" + strconv.Itoa(number) }

// dutyNumber returns the number of the duty that an engine belongs to, by hashing its name.
func (s *Stager) dutyNumber(engine string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(engine))
	return int(hash.Sum32() % uint32(s.config.DutyCount))
}

// Handlers returns the handlers of messages from other instances, by topic.
func (s *Stager) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: s.handleLoadRequest,
	}
}

func (s *Stager) handleLoadRequest(ctx context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	ask := &stagerpb.Ask{}
	if err := proto.Unmarshal(payload, ask); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	return proto.Marshal(decodeTold(s.delegator.ServeOrForward(ctx, s.delegate(s.config.Self.Domain, ask))))
}

// sendToDomain sends a load request to the holder of a duty of a failure domain. A failed call becomes a refusal.
func (s *Stager) sendToDomain(ctx context.Context, domain string, ask *stagerpb.Ask) *stagerpb.Told {
	return decodeTold(s.delegator.Send(ctx, s.delegate(domain, ask)))
}

// delegate returns the request to the holder of a duty that carries a load request.
func (s *Stager) delegate(domain string, ask *stagerpb.Ask) delegator.Request {
	duty := dutyName(int(ask.GetDuty()))
	return delegator.Request{
		Domain:    domain,
		Duty:      duty,
		Number:    int(ask.GetDuty()),
		Forwarded: ask.GetPassed(),
		Encode: func(forwarded bool) ([]byte, error) {
			ask.Passed = forwarded
			return proto.Marshal(ask)
		},
		Refused: func(answer []byte) bool { return decodeTold(answer, nil).GetRefused() != "" },
		Serve: func(ctx context.Context, term Term) ([]byte, error) {
			return proto.Marshal(s.serve(ctx, duty, term, ask))
		},
	}
}

// decodeTold decodes the answer to a load request. An error becomes a refusal.
func decodeTold(payload []byte, err error) *stagerpb.Told {
	answer := &stagerpb.Told{}
	if err == nil {
		err = proto.Unmarshal(payload, answer)
	}
	if err != nil {
		answer.Refused = "no holder answered: " + err.Error()
	}
	return answer
}

// serve loads the model or adapter that a request names, as the holder of the duty. A new holder refuses during a
// grace period, so that its orders do not interleave with those of the previous holder.
func (s *Stager) serve(ctx context.Context, duty string, term Term, ask *stagerpb.Ask) *stagerpb.Told {
	if remaining := s.graceRemaining(duty, term); remaining > 0 {
		return &stagerpb.Told{
			Refused: "the holder of " + duty + " is new",
			Wait:    int64(remaining),
		}
	}
	answer := &stagerpb.Told{
		Engine: ask.GetEngine(),
	}
	var ready time.Time
	var err error
	if ask.GetAdapter() != "" {
		ready, err = s.loadAdapter(ctx, term, ask.GetEngine(), ask.GetCheckpoint(), ask.GetAdapter())
	} else {
		answer.Engine, ready, err = s.loadModel(ctx, duty, term, ask.GetService(), ask.GetCheckpoint())
	}
	if err != nil {
		answer.Refused = err.Error()
		if at := retryTime(err); !at.IsZero() {
			answer.Wait = int64(max(0, at.Sub(s.config.Now())))
		}
		return answer
	}
	answer.Wait = int64(max(0, ready.Sub(s.config.Now())))
	return answer
}

// graceRemaining returns the remaining time in which this instance must not send orders in a term;
// zero or less means that it may. It records the start of a term that it has not recorded yet. The
// first epoch has no previous holder and so no grace period.
func (s *Stager) graceRemaining(duty string, term Term) time.Duration {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	start := s.termStarts[duty]
	if start.epoch != term.Epoch {
		start = termStart{
			epoch:   term.Epoch,
			noticed: now,
		}
		s.termStarts[duty] = start
		delete(s.limiters, duty)
	}
	if term.Epoch <= 1 {
		return 0
	}
	return s.config.GracePeriod - now.Sub(start.noticed)
}

// view returns the view of an engine, and creates it if there is none.
func (s *Stager) view(engine string) *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.views[engine]
	if v == nil {
		v = &view{}
		s.views[engine] = v
	}
	return v
}

// engineInstance returns the list entry of an engine. It returns *Unavailable for an engine that
// is not listed or is leaving.
func (s *Stager) engineInstance(engine string) (storer.Instance, error) {
	row, ok := s.config.Row(engine)
	if !ok || row.Instance.Role != storer.RoleEngine {
		return storer.Instance{}, unavailable("the engine " + engine + " is not listed")
	}
	if row.Instance.Leaving {
		return storer.Instance{}, unavailable("the engine " + engine + " leaves")
	}
	return row.Instance, nil
}

// Run maintains the views of the engines, and adds copies of models that are overloaded or that
// no engine holds, for the duties that this instance holds, until the context ends.
func (s *Stager) Run(ctx context.Context) {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.recordTerms()
			s.refreshViews(ctx)
			s.addCopies(ctx)
		}
	}
}

// refreshViews reads the reports of the engines whose duty this instance holds and whose
// contents or current order are not known. The engines' entries in the list show the orders of
// a previous holder only seconds later.
func (s *Stager) refreshViews(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	var group sync.WaitGroup
	for duty := range s.terms() {
		for service := range s.config.Snapshot().Services() {
			for _, row := range s.enginesOfDuty(duty, service.Name) {
				group.Go(func() { s.refreshEngine(ctx, row.Instance) })
			}
		}
	}
	group.Wait()
}

// refreshEngine brings the view of an engine up to date. During a swap it does nothing, since the
// swap refreshes the view itself.
func (s *Stager) refreshEngine(ctx context.Context, engine storer.Instance) {
	v := s.view(engine.Name)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loadingModel != "" {
		return
	}
	if err := s.refresh(ctx, v, engine); err != nil {
		s.config.Log.WithField("engine", engine.Name).WithError(err).Info("stage.unread")
	}
}

// terms iterates over the duties that this instance holds, with their terms.
func (s *Stager) terms() iter.Seq2[string, Term] {
	return func(yield func(string, Term) bool) {
		for _, duty := range Duties(s.config.DutyCount) {
			if term, ok := s.config.Term(duty); ok && !yield(duty, term) {
				return
			}
		}
	}
}

// runInterval is the time between two rounds of Run.
const runInterval = 500 * time.Millisecond

// recordTerms records the start of new terms and drops the views of engines that are no longer listed and have no open order.
func (s *Stager) recordTerms() {
	for duty, term := range s.terms() {
		_ = s.graceRemaining(duty, term)
	}
	s.mu.Lock()
	views := maps.Clone(s.views)
	s.mu.Unlock()
	now := s.config.Now()
	for engine, v := range views {
		if _, ok := s.config.Row(engine); ok || v.mayGetLateOrder(now) {
			continue
		}
		s.mu.Lock()
		delete(s.views, engine)
		s.mu.Unlock()
	}
}
