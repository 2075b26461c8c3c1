// Package stager has engines load what requests wait for: adapters on demand
// within milliseconds, and models in place of ones that are asked for less.
//
// The engines of a failure domain are divided over duties, so that each engine
// takes orders from one holder at a time. Each order names the number of orders
// that the engine has accepted so far: one that arrives late, after another was
// accepted, is refused by the engine, so that nothing need be recorded before
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

// Topic is the topic of messages about loads, and the beginning of the duties' names.
const Topic = "stage"

// Stager asks holders for loads and decides for the engines whose duty this
// instance holds.
type Stager struct {
	config Config
	demand *demand

	mu    sync.Mutex
	books map[string]*book
	// asking are the questions under way, by what they ask for.
	asking map[string]*question
	// since is when each duty was first seen held here, with its epoch.
	since map[string]holding
	paces map[string]*pace
}

// holding is when an epoch of a duty began here.
type holding struct {
	epoch uint64
	at    time.Time
}

// New returns a Stager.
func New(config Config) *Stager {
	config = config.withDefaults()
	return &Stager{
		config: config,
		demand: newDemand(config.Now),
		books:  map[string]*book{},
		asking: map[string]*question{},
		since:  map[string]holding{},
		paces:  map[string]*pace{},
	}
}

// Duties returns the names of the duties of a failure domain.
func Duties(groups int) []string {
	names := make([]string, max(1, groups))
	for number := range names {
		names[number] = duty(number)
	}
	return names
}

func duty(number int) string { return Topic + "/" + strconv.Itoa(number) }

// group is the number of the duty that an engine belongs to.
func (s *Stager) group(engine string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(engine))
	return int(hash.Sum32() % uint32(s.config.Groups))
}

// Handlers returns what answers other instances.
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

// answer serves a question if the duty is held here, and else passes it on to
// the holder, once.
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

// send asks a peer.
func (s *Stager) send(ctx context.Context, peer messenger.Peer, ask *stagerpb.Ask) *stagerpb.Told {
	told := &stagerpb.Told{}
	payload, err := proto.Marshal(ask)
	if err == nil {
		payload, err = s.config.Call(ctx, peer, Topic, payload)
	}
	if err == nil {
		err = proto.Unmarshal(payload, told)
	}
	if err != nil {
		told.Refused = peer.Name + " did not answer: " + err.Error()
	}
	return told
}

// serve has what is asked for loaded. A new holder keeps still for a while, so
// that its orders do not cross those of the former one.
func (s *Stager) serve(ctx context.Context, name string, term Term, ask *stagerpb.Ask) *stagerpb.Told {
	if rest := s.quiet(name, term); rest > 0 {
		return &stagerpb.Told{
			Refused: "the holder of " + name + " is new",
			Wait:    int64(rest),
		}
	}
	told := &stagerpb.Told{
		Engine: ask.GetEngine(),
	}
	var ready time.Time
	var err error
	if ask.GetAdapter() != "" {
		ready, err = s.loadAdapter(ctx, term, ask.GetEngine(), ask.GetCheckpoint(), ask.GetAdapter())
	} else {
		told.Engine, ready, err = s.loadModel(ctx, name, term, ask.GetService(), ask.GetCheckpoint())
	}
	if err != nil {
		told.Refused = err.Error()
		if at := until(err); !at.IsZero() {
			told.Wait = int64(max(0, at.Sub(s.config.Now())))
		}
		return told
	}
	told.Wait = int64(max(0, ready.Sub(s.config.Now())))
	return told
}

// quiet is for how long this instance must not yet act in a term.
func (s *Stager) quiet(name string, term Term) time.Duration {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.since[name]
	if held.epoch != term.Epoch {
		held = holding{
			epoch: term.Epoch,
			at:    now,
		}
		s.since[name] = held
		delete(s.paces, name)
	}
	if term.Epoch <= 1 {
		return 0
	}
	return s.config.Quiet - now.Sub(held.at)
}

// book returns the book of an engine.
func (s *Stager) book(engine string) *book {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.books[engine]
	if kept == nil {
		kept = &book{}
		s.books[engine] = kept
	}
	return kept
}

// instance finds an engine in the list. It returns *Unavailable for one that is not
// there or leaves.
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

// Run watches over the duties that are held here until the context ends.
func (s *Stager) Run(ctx context.Context) {
	ticker := time.NewTicker(watching)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.watch()
			s.examine(ctx)
			s.spread(ctx)
		}
	}
}

// examine reads the reports of the engines whose duty is held here and of which
// it is not known what they hold or whether they carry out an order. A former
// holder's orders are in their entries seconds later.
func (s *Stager) examine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var group sync.WaitGroup
	for name := range s.terms() {
		for service := range s.config.Snapshot().Services() {
			for _, row := range s.engines(name, service.Name) {
				group.Go(func() { s.inspect(ctx, row.Instance) })
			}
		}
	}
	group.Wait()
}

// inspect brings the book of an engine up to date, unless a swap does.
func (s *Stager) inspect(ctx context.Context, engine storer.Instance) {
	b := s.book(engine.Name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.target != "" {
		return
	}
	if err := s.refresh(ctx, b, engine); err != nil {
		s.config.Log.WithField("engine", engine.Name).WithError(err).Info("stage.unread")
	}
}

// terms are the duties that are held here.
func (s *Stager) terms() iter.Seq2[string, Term] {
	return func(yield func(string, Term) bool) {
		for _, name := range Duties(s.config.Groups) {
			if term, ok := s.config.Term(name); ok && !yield(name, term) {
				return
			}
		}
	}
}

// watching is the time between looks at the duties and books.
const watching = 500 * time.Millisecond

// watch notes terms from their beginning and forgets engines that are gone.
func (s *Stager) watch() {
	for name, term := range s.terms() {
		_ = s.quiet(name, term)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for engine := range s.books {
		if _, ok := s.config.Row(engine); !ok {
			delete(s.books, engine)
		}
	}
}
