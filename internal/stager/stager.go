// Package stager loads what waiting requests need onto engines: adapters on demand within
// milliseconds, and models, which replace models with less demand.
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
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

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
	config Config
	demand *demand

	mu sync.Mutex
	// views holds what is known of each engine, by its name.
	views map[string]*view
	// inFlight holds the load requests under way, by what they request.
	inFlight map[string]*loadRequest
	// since holds the term in which this instance holds each duty, and when it first noticed
	// that term.
	since map[string]termStart
	// limiters bound the loads from the weight store that each duty starts, by the duty's
	// name.
	limiters map[string]*loadLimiter
}

// termStart records when this instance first noticed that it holds a duty at an epoch (the
// fencing token of a term).
type termStart struct {
	epoch uint64
	at    time.Time
}

// New returns a Stager that knows no engine yet. Run must be called to keep its views up to
// date.
func New(config Config) *Stager {
	config = config.withDefaults()
	return &Stager{
		config:   config,
		demand:   newDemand(config.Now),
		views:    map[string]*view{},
		inFlight: map[string]*loadRequest{},
		since:    map[string]termStart{},
		limiters: map[string]*loadLimiter{},
	}
}

// Duties returns the names of the duties that the engines of a failure domain are partitioned
// over.
func Duties(groups int) []string {
	names := make([]string, max(1, groups))
	for number := range names {
		names[number] = duty(number)
	}
	return names
}

// duty returns the name of a duty from its number.
func duty(number int) string { return Topic + "/" + strconv.Itoa(number) }

// group returns the number of the duty that an engine belongs to, by hashing its name.
func (s *Stager) group(engine string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(engine))
	return int(hash.Sum32() % uint32(s.config.Groups))
}

// Handlers returns the handlers of messages from other instances, by topic.
func (s *Stager) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: s.handle,
	}
}

func (s *Stager) handle(ctx context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	ask := &stagerpb.Ask{}
	if err := proto.Unmarshal(payload, ask); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	return proto.Marshal(s.answer(ctx, ask))
}

// answer serves a load request if this instance holds the duty, and otherwise forwards it to
// the holder. A request is forwarded only once.
func (s *Stager) answer(ctx context.Context, ask *stagerpb.Ask) *stagerpb.Told {
	name := duty(int(ask.GetDuty()))
	if term, ok := s.config.Term(name); ok {
		return s.serve(ctx, name, term, ask)
	}
	owner, _, ok := s.config.Owner(name)
	if !ok || ask.GetPassed() || owner.Name == s.config.Self.Name {
		return &stagerpb.Told{
			Refused: "nobody holds " + name,
		}
	}
	ask.Passed = true
	return s.send(ctx, owner, ask)
}

// send sends a load request to a peer. A failed call becomes a refusal.
func (s *Stager) send(ctx context.Context, peer messenger.Peer, ask *stagerpb.Ask) *stagerpb.Told {
	answer := &stagerpb.Told{}
	payload, err := proto.Marshal(ask)
	if err == nil {
		payload, err = s.config.Call(ctx, peer, Topic, payload)
	}
	if err == nil {
		err = proto.Unmarshal(payload, answer)
	}
	if err != nil {
		answer.Refused = peer.Name + " did not answer: " + err.Error()
	}
	return answer
}

// serve loads what the request names, as the holder of the duty. A new holder refuses during a
// grace period, so that its orders do not interleave with those of the previous holder.
func (s *Stager) serve(ctx context.Context, name string, term Term, ask *stagerpb.Ask) *stagerpb.Told {
	if remaining := s.graceLeft(name, term); remaining > 0 {
		return &stagerpb.Told{
			Refused: "the holder of " + name + " is new",
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
		answer.Engine, ready, err = s.loadModel(ctx, name, term, ask.GetService(), ask.GetCheckpoint())
	}
	if err != nil {
		answer.Refused = err.Error()
		if at := until(err); !at.IsZero() {
			answer.Wait = int64(max(0, at.Sub(s.config.Now())))
		}
		return answer
	}
	answer.Wait = int64(max(0, ready.Sub(s.config.Now())))
	return answer
}

// graceLeft returns for how long this instance must not yet send orders in a term; zero or
// less means that it may. It records the start of a term that it has not seen before. The
// first epoch has no previous holder and so no grace period.
func (s *Stager) graceLeft(name string, term Term) time.Duration {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	start := s.since[name]
	if start.epoch != term.Epoch {
		start = termStart{
			epoch: term.Epoch,
			at:    now,
		}
		s.since[name] = start
		delete(s.limiters, name)
	}
	if term.Epoch <= 1 {
		return 0
	}
	return s.config.GracePeriod - now.Sub(start.at)
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

// instance returns an engine from the list. It returns *Unavailable for one that is not listed
// or is leaving.
func (s *Stager) instance(engine string) (storer.Instance, error) {
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
			s.noteTerms()
			s.refreshViews(ctx)
			s.spread(ctx)
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
	for name := range s.terms() {
		for service := range s.config.Snapshot().Services() {
			for _, row := range s.engines(name, service.Name) {
				group.Go(func() { s.refreshEngine(ctx, row.Instance) })
			}
		}
	}
	group.Wait()
}

// refreshEngine brings the view of an engine up to date, unless a swap is under way, which
// does that itself.
func (s *Stager) refreshEngine(ctx context.Context, engine storer.Instance) {
	v := s.view(engine.Name)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.target != "" {
		return
	}
	if err := s.refresh(ctx, v, engine); err != nil {
		s.config.Log.WithField("engine", engine.Name).WithError(err).Info("stage.unread")
	}
}

// terms iterates over the duties that this instance holds, with their terms.
func (s *Stager) terms() iter.Seq2[string, Term] {
	return func(yield func(string, Term) bool) {
		for _, name := range Duties(s.config.Groups) {
			if term, ok := s.config.Term(name); ok && !yield(name, term) {
				return
			}
		}
	}
}

// runInterval is the time between two rounds of Run.
const runInterval = 500 * time.Millisecond

// noteTerms records the start of new terms and drops the views of engines that are no longer
// listed.
func (s *Stager) noteTerms() {
	for name, term := range s.terms() {
		_ = s.graceLeft(name, term)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for engine := range s.views {
		if _, ok := s.config.Row(engine); !ok {
			delete(s.views, engine)
		}
	}
}
