package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/verifier/auditor"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// fleet simulates several instances in one process under fake time.
type fleet struct {
	mu  sync.Mutex
	rng *rand.Rand
	// electionRNG chooses duty holders. It is separate from the generator for messages, whose order the scheduler
	// decides, so that a seed always elects the same holders.
	electionRNG *rand.Rand
	start       time.Time
	teams       map[string]configurator.Team
	limits      map[string][]auditor.Limit
	spends      map[string][]auditor.Spend
	nodes       map[string]*node
	terms       map[string]*term // by domain
	epoch       uint64
	entries     map[string]storer.Entry
	writes      storer.Revision
	outage      bool
	faulty      bool
	domains     []string
	// mutedListed keeps muted instances among those that others know of.
	mutedListed bool
	// disable removes a safeguard in every limiter.
	disable func(*Limiter)
	// beforeSpend returns an instance's hook between the check for a pause and the spending.
	beforeSpend       func(*node) func()
	stopped           bool
	admitted, refused int
}

// term is a holder's term: the lease of a duty, with its deadline.
type term struct {
	name     string
	epoch    uint64
	deadline time.Time
}

// node is one incarnation of an instance.
type node struct {
	fleet       *fleet
	name        string
	domain      string
	incarnation uint64
	limiter     *Limiter
	cancel      context.CancelFunc
	mu          sync.Mutex
	gate        chan struct{} // not nil while frozen; closed by thaw
	ownTerm     *term
	dead        bool
	// checkFails makes the check of the term fail; termHidden makes the instance hold no term at all.
	checkFails, termHidden bool
	// muted drops the messages that the instance sends and hides it from the others.
	muted bool
	// freezeBeforeSpend makes the hook of freezeOnce freeze the instance once.
	freezeBeforeSpend atomic.Bool
	outdatedTerm      *term // former term whose holder the instance sends its demands to, if not nil
}

func newFleet(seed uint64, domains, size int, disable func(*Limiter)) *fleet {
	f := &fleet{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		electionRNG: rand.New(rand.NewPCG(seed, 1)),
		start:       time.Now(),
		teams:       map[string]configurator.Team{},
		limits:      map[string][]auditor.Limit{},
		spends:      map[string][]auditor.Spend{},
		nodes:       map[string]*node{},
		terms:       map[string]*term{},
		entries:     map[string]storer.Entry{},
		disable:     disable,
	}
	f.grow(domains, size)
	return f
}

func (f *fleet) grow(domains, size int) {
	for d := range domains {
		f.domains = append(f.domains, fmt.Sprint("d", d))
	}
	for _, domain := range f.domains {
		for i := range size {
			f.boot(fmt.Sprint(domain, "-", i), domain)
		}
	}
}

func (f *fleet) random(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *fleet) setTeam(name string, rate float64, burst int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.teams[name] = configurator.Team{
		Name:  name,
		Rate:  rate,
		Burst: burst,
	}
	f.limits[name] = append(f.limits[name], auditor.Limit{
		From:  time.Now(),
		Rate:  rate,
		Burst: float64(burst),
	})
}

// boot starts an instance, with the next incarnation of its name.
func (f *fleet) boot(name, domain string) *node {
	n := &node{
		fleet:  f,
		name:   name,
		domain: domain,
	}
	f.mu.Lock()
	if old := f.nodes[name]; old != nil {
		n.incarnation = old.incarnation
	}
	n.incarnation++
	f.mu.Unlock()
	n.limiter = New(Config{
		Self: messenger.Sender{
			Name:        name,
			Domain:      domain,
			Incarnation: n.incarnation,
		},
		Domain:          domain,
		Mode:            parser.LimitLoans,
		Domains:         f.domains,
		ReserveFraction: 0.2,
		ReserveCount:    3,
		DemandInterval:  100 * time.Millisecond,
		SilenceTimeout:  5 * time.Second,
		Team:            f.team,
		Term:            n.term,
		Owner:           n.owner,
		Members:         n.members,
		Call:            n.call,
		Store:           f.store(),
		Now:             n.now,
	})
	if f.disable != nil {
		f.disable(n.limiter)
	}
	if f.beforeSpend != nil {
		n.limiter.beforeSpend = f.beforeSpend(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go n.limiter.Run(ctx)
	return n
}

func (f *fleet) team(name string) (configurator.Team, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	team, ok := f.teams[name]
	return team, ok
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// elect renews the terms of running holders and elects new holders where the deadline has passed.
func (f *fleet) elect() {
	f.mu.Lock()
	outage := f.outage
	f.mu.Unlock()
	for _, domain := range f.domains {
		f.mu.Lock()
		current := f.terms[domain]
		f.mu.Unlock()
		now := time.Now()
		if current != nil {
			n := f.node(current.name)
			n.mu.Lock()
			if n.ownTerm == current && !n.dead && n.gate == nil && now.Before(current.deadline) {
				current.deadline = now.Add(2 * time.Second)
			}
			expired := !now.Before(current.deadline)
			n.mu.Unlock()
			if !expired {
				continue
			}
		}
		if outage {
			continue
		}
		f.electRandom(domain)
	}
}

// electRandom starts a term at a random running instance of a domain.
func (f *fleet) electRandom(domain string) {
	var names []string
	for i := range 8 {
		if n := f.node(fmt.Sprint(domain, "-", i)); n != nil && n.running() {
			names = append(names, n.name)
		}
	}
	if len(names) == 0 {
		return
	}
	f.mu.Lock()
	chosen := names[f.electionRNG.IntN(len(names))]
	f.mu.Unlock()
	f.startTerm(f.node(chosen))
}

// startTerm starts a term at the given instance.
func (f *fleet) startTerm(n *node) {
	f.mu.Lock()
	f.epoch++
	started := &term{
		name:     n.name,
		epoch:    f.epoch,
		deadline: time.Now().Add(2 * time.Second),
	}
	f.terms[n.domain] = started
	f.mu.Unlock()
	n.mu.Lock()
	n.ownTerm = started
	n.mu.Unlock()
}

// call delivers a message and its answer with delays, and with loss and duplication while faulty is set.
func (n *node) call(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
	f := n.fleet
	f.mu.Lock()
	faulty := f.faulty
	f.mu.Unlock()
	pause(ctx, time.Duration(200+f.random(800))*time.Microsecond)
	target := f.node(to.Name)
	if target == nil || !target.running() || n.isMuted() || faulty && f.random(10) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sender := n.limiter.config.Self
	handle := target.limiter.Handlers()[topic]
	if faulty && f.random(10) == 0 {
		go func() {
			time.Sleep(time.Duration(f.random(3000)) * time.Millisecond)
			if target.running() {
				_, _ = handle(context.Background(), sender, payload)
			}
		}()
	}
	if faulty && f.random(10) == 0 {
		pause(ctx, time.Duration(f.random(400))*time.Millisecond)
	}
	answer, err := handle(ctx, sender, payload)
	pause(ctx, time.Duration(200+f.random(800))*time.Microsecond)
	if faulty && f.random(10) == 0 {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return answer, err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// store returns a fake of the platform's key-value service with outages and lost answers.
func (f *fleet) store() *storer.Store {
	return &storer.Store{
		Get: func(ctx context.Context, key string) (storer.Entry, error) {
			time.Sleep(2 * time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.outage {
				return storer.Entry{}, &storer.Unavailable{
					Operation: "get",
				}
			}
			entry, ok := f.entries[key]
			if !ok {
				return entry, &storer.Absent{
					Key: key,
				}
			}
			return entry, nil
		},
		Swap: func(ctx context.Context, swap storer.Swap) (storer.Entry, error) {
			time.Sleep(2 * time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.outage {
				return storer.Entry{}, &storer.Unavailable{
					Operation: "swap",
				}
			}
			if f.entries[swap.Key].Revision != swap.Expected {
				return storer.Entry{}, &storer.Conflict{
					Key:     swap.Key,
					Current: f.entries[swap.Key].Revision,
				}
			}
			f.writes++
			entry := storer.Entry{
				Key:      swap.Key,
				Value:    swap.Value,
				Revision: f.writes,
			}
			f.entries[swap.Key] = entry
			if f.faulty && f.rng.IntN(5) == 0 {
				return storer.Entry{}, &storer.Unavailable{
					Operation: "swap",
				}
			}
			return entry, nil
		},
	}
}

// request reserves tokens, holds them and settles, as one caller does.
func (n *node) request(team string, tokens, used int64, hold time.Duration) bool {
	r, err := n.limiter.Reserve(context.Background(), Request{
		Team:   team,
		Tokens: tokens,
	})
	now := time.Now()
	n.mu.Lock()
	dead := n.dead
	n.mu.Unlock()
	f := n.fleet
	f.mu.Lock()
	if err != nil || dead {
		f.refused++
		f.mu.Unlock()
		return false
	}
	f.admitted++
	f.spends[team] = append(f.spends[team], auditor.Spend{
		At:     now,
		Tokens: float64(used),
	})
	f.mu.Unlock()
	time.Sleep(hold)
	r.Settle(used)
	return true
}

func (f *fleet) ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	time.Sleep(14 * time.Second)
	for _, n := range f.nodes {
		n.kill()
	}
	// All sleeping goroutines must have ended before the test does, since fake time stops then. A request that
	// was delayed by one pause may cause another, hence twice the longest pause.
	time.Sleep(2 * longestPause)
}

// largestExcess returns the team with the largest excess over its limits.
func (f *fleet) largestExcess() (string, auditor.Audit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	worst, name := auditor.Audit{}, ""
	for team, spends := range f.spends {
		if audit := auditor.Budget(f.limits[team], spends); audit.Over >= worst.Over {
			worst, name = audit, team
		}
	}
	return name, worst
}
