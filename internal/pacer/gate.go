package pacer

import (
	"sync"
	"time"
)

const (
	// permitTTL is how long a permit may be used. It bounds what instances can save up together.
	permitTTL = 200 * time.Millisecond
	// maxBatch is the maximum number of permits in one request.
	maxBatch = 64
	// endRefresh is how long answers without a limit go on confirming to peers that the limit has ended.
	endRefresh = 10 * time.Second
	// retryDelay is the time between a request for permits that got no answer and the next one.
	retryDelay = 500 * time.Millisecond
)

// gate admits the requests of this instance to one upstream that has stated a limit.
type gate struct {
	upstream Upstream

	mu    sync.Mutex
	limit limit
	// reported is the limit after its last notable change, at changedAt.
	reported  limit
	changedAt time.Time
	// ownAt is when this instance itself last got an answer that stated a limit.
	ownAt time.Time
	// permits is the number of permits that may be used until permitsEnd.
	permits    int
	permitsEnd time.Time
	// batch is the number of permits to ask for next.
	batch int
	// asking is set while a request for permits is under way.
	asking bool
	// waitEnd is when the next request for permits may be sent.
	waitEnd time.Time
	// fallback gives permits while the holder of the upstream's duty does not answer; nil otherwise.
	fallback *fallback
	// resuming is the number of broken streams that wait for a permit to go on. They come before other requests.
	resuming int
	// retryTurn is the time that the last refused caller was told to come back.
	retryTurn time.Time
	counts    counts
}

// counts are numbers of requests to one upstream since it first stated a limit.
type counts struct {
	// first and repeated count the requests that were sent.
	first    uint64
	repeated uint64
	// denied counts the times that a request was not admitted.
	denied uint64
	// fallback counts the permits of the fallback that were used.
	fallback uint64
}

// observe applies a statement of an answer to this instance and reports whether it changed the limit. An
// answer without a limit ends the limit only if its request was sent after the last answer with one.
func (g *gate) observe(now time.Time, s Statement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Limited {
		g.ownAt = now
		return g.set(limit{
			limited: true,
			rate:    s.Rate,
			at:      now,
		})
	}
	if !s.Sent.After(g.limit.at) || !g.limit.limited && s.Sent.Sub(g.changedAt) > endRefresh {
		return false
	}
	return g.set(limit{
		at: s.Sent,
	})
}

// learn applies what a peer knows of the limit and reports whether it changed the limit.
func (g *gate) learn(l limit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !l.supersedes(g.limit) {
		return false
	}
	if !l.limited && l.at.Before(g.ownAt.Add(foreignEndDelay)) {
		return false
	}
	return g.set(l)
}

// set replaces the limit and reports whether it has changed so much that the holder must be told at once. The caller
// holds the lock.
func (g *gate) set(l limit) bool {
	l.cold = g.limit.cold
	g.limit = l
	if !l.differs(g.reported) {
		return false
	}
	if l.limited && l.rate < g.reported.rate {
		g.permits = 0
	}
	g.reported = l
	g.changedAt = l.at
	g.renew()
	return true
}

// renew forgets what followed from the former limit. The caller holds the lock.
func (g *gate) renew() {
	g.batch = 1
	g.fallback = nil
	g.waitEnd = time.Time{}
	g.retryTurn = time.Time{}
}

// admit uses a permit if there is one; resumes is set for a broken stream that goes on. It reports with Pending that
// permits have been asked for, or that the caller must do so.
func (g *gate) admit(now time.Time, resumes bool) (admission Admission, ask bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mayUse := resumes || g.resuming == 0
	switch {
	case !g.limit.effective(now).limited || mayUse && g.usePermit(now):
		return Admitted, false
	case mayUse && g.fallback.take(now):
		g.counts.fallback++
		return Admitted, false
	case !g.asking && !now.Before(g.waitEnd):
		g.asking = true
		ask = true
	}
	if g.asking && g.fallback == nil {
		return Pending, ask
	}
	g.counts.denied++
	return Denied, ask
}

// addResuming changes the number of broken streams that wait for a permit.
func (g *gate) addResuming(change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resuming += change
}

// usePermit uses one of the permits and reports whether there was one. The caller holds the lock.
func (g *gate) usePermit(now time.Time) bool {
	if g.permits > 0 && !now.Before(g.permitsEnd) {
		g.permits = 0
		g.batch = 1
	}
	if g.permits == 0 {
		return false
	}
	g.permits--
	return true
}

// known returns what is known of the limit.
func (g *gate) known() limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// nextBatch returns the number of permits to ask for.
func (g *gate) nextBatch() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, g.batch)
}

// credit applies the answer to a request for permits, and reports whether the previous one got no answer. The batch
// grows while all that is asked for is granted.
func (g *gate) credit(now time.Time, asked, granted int, wait time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	regained := g.fallback != nil
	g.asking = false
	g.fallback = nil
	g.waitEnd = now.Add(wait)
	if granted == 0 {
		return regained
	}
	g.permits = granted
	g.permitsEnd = now.Add(permitTTL)
	g.batch = 1
	if granted == asked {
		g.batch = min(maxBatch, 2*asked)
	}
	return regained
}

// fail records that a request for permits got no answer, and starts the fallback. It reports whether the
// previous request was answered.
func (g *gate) fail(now time.Time, start func() *fallback) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asking = false
	g.waitEnd = now.Add(retryDelay)
	if g.fallback != nil {
		return false
	}
	g.fallback = start()
	return true
}

// state returns when the next request may be sent and the stated rate, and whether there is a limit. The time is
// not after now if a permit may be had at once.
func (g *gate) state(now time.Time) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.limit.effective(now)
	s := State{
		Limited: current.limited,
		Rate:    max(current.rate, minRate),
		Asking:  g.asking && g.fallback == nil,
		Next:    g.waitEnd,
	}
	switch {
	case g.permits > 0 && now.Before(g.permitsEnd):
		s.Next = now
	case g.fallback != nil:
		s.Next = g.fallback.due(now)
	}
	return s
}

// retryTime returns when a caller that is refused now should come back: at the given time or after the
// callers that were refused before it.
func (g *gate) retryTime(earliest time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retryTurn.Before(earliest) {
		g.retryTurn = earliest
	}
	turn := g.retryTurn
	g.retryTurn = turn.Add(g.limit.effective(earliest).interval())
	if latest := earliest.Add(maxRetrySpread); g.retryTurn.After(latest) {
		g.retryTurn = earliest
	}
	return turn
}

// maxRetrySpread bounds by how much the callers that are refused at the same time are spread out: many of them do not
// come back.
const maxRetrySpread = 5 * time.Second

// countSent counts a request that is sent to the upstream, and reports whether the upstream has a limit.
func (g *gate) countSent(repeated bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.limit.limited:
	case repeated:
		g.counts.repeated++
	default:
		g.counts.first++
	}
	return g.limit.limited
}
