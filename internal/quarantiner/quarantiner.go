package quarantiner

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxSuspects limits the number of suspects. Those with the fewest crashes are dropped first, a sixteenth at a time.
	maxSuspects = 1024
	// maxPending limits the crashes and messages that wait to be handled.
	maxPending = 64
	// evaluationInterval is the time between two evaluations while there are suspects.
	evaluationInterval = 100 * time.Millisecond
)

// Quarantiner keeps the suspects that this instance knows of.
type Quarantiner struct {
	config  Config
	metrics quarantineMetrics
	// count is the number of suspects.
	count atomic.Int64
	// broken and outgoing hold the crashes to be verified and the messages to be sent.
	broken   chan *crash
	outgoing chan *broadcast
	// learned is closed once the other instances were asked what they know.
	learned chan struct{}

	mu       sync.Mutex
	suspects map[uint64]*suspect
	// turn is the first of the less important suspects that the next heartbeat carries.
	turn int
	// crashes holds the recent crashes by the engine's name.
	crashes map[string]*crash
}

// New returns a Quarantiner without suspects.
func New(config Config) *Quarantiner {
	return &Quarantiner{
		config:   config.complete(),
		metrics:  newQuarantineMetrics(),
		broken:   make(chan *crash, maxPending),
		outgoing: make(chan *broadcast, maxPending),
		learned:  make(chan struct{}),
		suspects: map[uint64]*suspect{},
		crashes:  map[string]*crash{},
	}
}

// Run asks the other instances what they know, verifies crashes, passes on what is found and quarantines parts, until the
// context ends. It must be called once.
func (q *Quarantiner) Run(ctx context.Context) {
	first := &learner{
		quarantiner: q,
	}
	go first.run(ctx)
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		var due <-chan time.Time
		if q.count.Load() > 0 {
			due = ticker.C
		}
		select {
		case <-ctx.Done():
			return
		case c := <-q.broken:
			go c.run(ctx)
		case b := <-q.outgoing:
			go b.run(ctx)
		case <-due:
			q.evaluate()
		}
	}
}

// Broke records that the connection of an attempt to an engine broke before its answer was complete. It counts once the
// engine turns out to be down.
func (q *Quarantiner) Broke(engine string, address netip.AddrPort, attempt Attempt) {
	if len(attempt.names()) == 0 {
		return
	}
	now := q.config.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.crashes[engine]
	if c == nil || now.Sub(c.at) >= minDowntime {
		c = &crash{
			quarantiner: q,
			engine:      engine,
			address:     address,
			at:          now,
		}
		select {
		case q.broken <- c:
			q.crashes[engine] = c
		default:
			q.metrics.dropped.Inc()
			return
		}
	}
	if len(c.attempts) < maxPending {
		attempt.Parts = slices.Clone(attempt.Parts)
		c.attempts = append(c.attempts, attempt)
	}
	if c.confirmed {
		q.record(c)
	}
}

// record adds the requests of a confirmed crash to the suspects and passes the sighting on. The mutex is held.
func (q *Quarantiner) record(c *crash) {
	record := crashRecord{
		engine: hashName(c.engine),
		at:     c.at,
	}
	attempts := c.attempts
	c.attempts = nil
	for part := range q.add(record, attempts) {
		q.logSuspected(part, c.engine)
	}
	q.report(record, attempts)
}

// add adds the requests that an engine ran when it crashed to the suspects, and returns those that changed. The mutex is held.
func (q *Quarantiner) add(record crashRecord, attempts []Attempt) map[uint64]bool {
	now := q.config.Now()
	changed := map[uint64]bool{}
	for _, attempt := range attempts {
		record.sent = attempt.Sent
		names := attempt.names()
		for _, name := range names {
			s := q.suspect(name, name == attempt.Whole, now)
			before := len(s.common)
			if s.addCrash(record, names) || len(s.common) != before {
				changed[name] = true
			}
		}
	}
	return changed
}

// logSuspected logs what is known of a suspect after a crash, unless it was dropped again for a later part of the same
// crash. Of requests as a whole it logs those that come again, since a busy engine runs many. The mutex is held.
func (q *Quarantiner) logSuspected(part uint64, engine string) {
	s := q.suspects[part]
	if s == nil || s.whole && len(s.crashes) < 2 {
		return
	}
	q.config.Log.WithFields(logrus.Fields{
		s.kind():  formatPart(part),
		"engine":  engine,
		"crashes": len(s.counted(q.config.Now())),
		"common":  len(s.common),
	}).Info("part.suspected")
}

// suspect returns the suspect for a part or, if whole is set, a request, and creates it if necessary. The mutex is held.
func (q *Quarantiner) suspect(part uint64, whole bool, now time.Time) *suspect {
	s := q.suspects[part]
	if s != nil {
		return s
	}
	q.prune(now)
	s = &suspect{
		part:  part,
		whole: whole,
	}
	q.suspects[part] = s
	q.count.Store(int64(len(q.suspects)))
	return s
}

// prune drops what no longer counts, and makes room for another suspect. The mutex is held.
func (q *Quarantiner) prune(now time.Time) {
	for part, s := range q.suspects {
		if s.expired(now) {
			delete(q.suspects, part)
		}
	}
	for engine, c := range q.crashes {
		if now.Sub(c.at) > minTerm {
			delete(q.crashes, engine)
		}
	}
	if len(q.suspects) >= maxSuspects {
		ranked := q.ranked(now)
		for _, s := range ranked[maxSuspects-maxSuspects/16:] {
			delete(q.suspects, s.part)
		}
	}
	q.count.Store(int64(len(q.suspects)))
}

// ranked returns the suspects, those that matter most first: what is quarantined, then what has the most crashes, then
// what had the latest. The mutex is held.
func (q *Quarantiner) ranked(now time.Time) []*suspect {
	counts := make(map[*suspect]int, len(q.suspects))
	ranked := make([]*suspect, 0, len(q.suspects))
	for _, s := range q.suspects {
		counts[s] = s.count(now)
		if s.held(now) {
			counts[s] = math.MaxInt
		}
		ranked = append(ranked, s)
	}
	slices.SortFunc(ranked, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), b.lastCrash().Compare(a.lastCrash()), cmp.Compare(a.part, b.part))
	})
	return ranked
}

// Completed records that an engine completed at the given time the answer to a request.
func (q *Quarantiner) Completed(whole uint64, at time.Time) { q.Survived([]uint64{whole}, at) }

// Survived records that an engine began at the given time to answer a prompt with these parts, and went on.
func (q *Quarantiner) Survived(parts []uint64, began time.Time) {
	if q.count.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := map[uint64]bool{}
	for _, part := range parts {
		s := q.suspects[part]
		if s == nil || !began.After(s.soundAt) {
			continue
		}
		wasSound := s.sound()
		s.soundAt = began
		if !wasSound && s.sound() {
			s.release()
			changed[part] = true
			q.config.Log.WithField(s.kind(), formatPart(part)).Info("part.sound")
		}
	}
	q.tell(changed)
}

// Quarantined reports whether a request must not be sent, and until when.
func (q *Quarantiner) Quarantined(request Request) (until time.Time, held bool) {
	if q.count.Load() == 0 {
		return time.Time{}, false
	}
	now := q.config.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspects[request.Whole]; s != nil && s.whole && s.held(now) {
		return s.until, true
	}
	for _, part := range request.Parts {
		s := q.suspects[part]
		if s != nil && !s.whole && s.held(now) && q.matches(s, request) {
			return s.until, true
		}
	}
	return time.Time{}, false
}

// matches reports whether a request has all that a suspect's requests had in common, apart from what was
// answered without it since the first crash that counted. The mutex is held.
func (q *Quarantiner) matches(s *suspect, request Request) bool {
	for _, part := range s.common {
		other := q.suspects[part]
		sound := other != nil && len(s.crashes) > 0 && other.soundAt.After(s.crashes[0].at)
		if part != s.part && part != request.Whole && !sound && !slices.Contains(request.Parts, part) {
			return false
		}
	}
	return true
}

// explained reports whether another part explains all crashes of a suspect better: it occurred at each of them, and also at
// others, or only together with the suspect while the suspect also occurred without it. A single request explains the crashes
// under its parts best. The mutex is held.
func (q *Quarantiner) explained(s *suspect, now time.Time) bool {
	if s.whole {
		return false
	}
	crashes := s.counted(now)
	for _, other := range q.suspects {
		if other == s || other.sound() || !other.held(now) && len(other.counted(now)) < minCrashes || !other.covers(crashes) {
			continue
		}
		if other.whole {
			return true
		}
		rarer := slices.Contains(other.common, s.part) && !slices.Contains(s.common, other.part)
		if rarer || !s.covers(other.crashes) {
			return true
		}
	}
	return false
}

// evaluate quarantines the parts that are due.
func (q *Quarantiner) evaluate() {
	now := q.config.Now()
	q.mu.Lock()
	changed := map[uint64]bool{}
	for part, s := range q.suspects {
		if !s.due(now) || q.explained(s, now) {
			continue
		}
		crashes := len(s.counted(now))
		s.quarantine(now)
		changed[part] = true
		q.metrics.quarantined.Inc()
		q.config.Log.WithFields(logrus.Fields{
			s.kind():  formatPart(part),
			"crashes": crashes,
			"common":  len(s.common),
			"term":    s.term,
		}).Warn("part.quarantined")
	}
	q.prune(now)
	q.tell(changed)
	q.mu.Unlock()
	if len(changed) > 0 {
		q.config.Changed()
	}
}
