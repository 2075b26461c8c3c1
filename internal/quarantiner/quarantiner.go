package quarantiner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxSuspects limits the number of suspects. The one whose last crash is the longest ago is dropped first.
	maxSuspects = 256
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

	mu       sync.Mutex
	suspects map[uint64]*suspect
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
		suspects: map[uint64]*suspect{},
		crashes:  map[string]*crash{},
	}
}

// Run verifies crashes, passes on what is found and quarantines parts, until the context ends.
func (q *Quarantiner) Run(ctx context.Context) {
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

// Broke records that a connection to an engine broke before the answer to a prompt with the given parts had begun. It
// counts once the engine turns out to be down.
func (q *Quarantiner) Broke(engine string, address netip.AddrPort, parts []uint64) {
	if len(parts) == 0 {
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
	if len(c.prompts) < maxPending {
		c.prompts = append(c.prompts, slices.Clone(parts))
	}
	if c.confirmed {
		q.record(c)
	}
}

// record adds the prompts of a confirmed crash to the suspects and passes the news on. The mutex is held.
func (q *Quarantiner) record(c *crash) {
	now := q.config.Now()
	record := crashRecord{
		engine: hashName(c.engine),
		at:     c.at,
	}
	changed := map[uint64]bool{}
	for _, prompt := range c.prompts {
		for _, part := range prompt {
			s := q.suspect(part, now)
			before := len(s.common)
			if s.addCrash(record, prompt) || len(s.common) != before {
				changed[part] = true
			}
		}
	}
	for part := range changed {
		s := q.suspects[part]
		if s == nil {
			continue // dropped for a later part of the same crash
		}
		q.config.Log.WithFields(logrus.Fields{
			"part":    formatPart(part),
			"engine":  c.engine,
			"crashes": len(s.counted(now)),
			"common":  len(s.common),
		}).Info("part.suspected")
	}
	c.prompts = nil
	q.tell(changed)
}

// suspect returns the suspect for a part, and creates it if necessary. The mutex is held.
func (q *Quarantiner) suspect(part uint64, now time.Time) *suspect {
	s := q.suspects[part]
	if s != nil {
		return s
	}
	q.prune(now)
	s = &suspect{
		part: part,
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
	for len(q.suspects) >= maxSuspects {
		var oldest *suspect
		for _, s := range q.suspects {
			if oldest == nil || s.held(now) == oldest.held(now) && s.lastCrash().Before(oldest.lastCrash()) || !s.held(now) && oldest.held(now) {
				oldest = s
			}
		}
		delete(q.suspects, oldest.part)
	}
	q.count.Store(int64(len(q.suspects)))
}

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
			q.config.Log.WithField("part", formatPart(part)).Info("part.sound")
		}
	}
	q.tell(changed)
}

// Quarantined reports whether a prompt with the given parts must not be sent, and until when.
func (q *Quarantiner) Quarantined(parts []uint64) (until time.Time, held bool) {
	if q.count.Load() == 0 {
		return time.Time{}, false
	}
	now := q.config.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		s := q.suspects[part]
		if s != nil && s.held(now) && q.matches(s, parts) {
			return s.until, true
		}
	}
	return time.Time{}, false
}

// matches reports whether a prompt has all parts that a suspect's prompts had in common, apart from those that were
// answered without it since the first crash that counted. The mutex is held.
func (q *Quarantiner) matches(s *suspect, parts []uint64) bool {
	for _, part := range s.common {
		other := q.suspects[part]
		sound := other != nil && len(s.crashes) > 0 && other.soundAt.After(s.crashes[0].at)
		if part != s.part && !sound && !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// explained reports whether another part explains all crashes of a suspect better: it occurred at each of them, and also at
// others, or only together with the suspect while the suspect also occurred without it. The mutex is held.
func (q *Quarantiner) explained(s *suspect, now time.Time) bool {
	crashes := s.counted(now)
	for _, other := range q.suspects {
		if other == s || other.sound() || !other.held(now) && len(other.counted(now)) < minCrashes || !other.covers(crashes) {
			continue
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
			"part":    formatPart(part),
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
