package router

import "time"

const (
	// resumeTime is how long after a pause the requests to an upstream grow to what it takes, and resumeStep the time in which
	// they double.
	resumeTime = time.Second
	resumeStep = 100 * time.Millisecond
)

// pause is the time in which an upstream wants no requests of this instance. After it the requests grow slowly, since those
// that have waited would all come at once.
type pause struct {
	// until is the end of the time; zero if there is none.
	until time.Time
	// resumed is the number of requests since then.
	resumed int
	// waking is set while a timer for the next step is set.
	waking bool
}

// extend sets a later end. It returns whether a time began.
func (p *pause) extend(now, until time.Time) bool {
	if !until.After(p.until) {
		return false
	}
	began := !now.Before(p.until)
	p.until, p.resumed = until, 0
	return began
}

// allows reports whether a request may be sent.
func (p *pause) allows(now time.Time) bool {
	if p.until.IsZero() {
		return true
	}
	since := now.Sub(p.until)
	return since >= resumeTime || since >= 0 && p.resumed < 1<<(since/resumeStep)
}

// count counts a request that is sent.
func (p *pause) count(now time.Time) {
	if now.Sub(p.until) < resumeTime {
		p.resumed++
	}
}

// next returns when the next request may be sent, and whether there is such a step to come.
func (p *pause) next(now time.Time) (time.Time, bool) {
	since := now.Sub(p.until)
	switch {
	case since >= resumeTime:
		return time.Time{}, false
	case since < 0:
		return p.until, true
	default:
		return p.until.Add((since/resumeStep + 1) * resumeStep), true
	}
}

// pauseUntil stops requests to a start of the upstream until a time. It returns whether they were not stopped before.
func (u *upstream) pauseUntil(start string, now, until time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.snapshot.Load().start == start && u.pause.extend(now, until)
}

// wake calls Changed at each step at which an upstream may get requests again.
func (r *Router) wake(u *upstream) {
	now := r.config.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pause.waking {
		return
	}
	next, pending := u.pause.next(now)
	if !pending {
		return
	}
	u.pause.waking = true
	time.AfterFunc(next.Sub(now), func() {
		u.mu.Lock()
		u.pause.waking = false
		u.mu.Unlock()
		r.config.Changed()
		r.wake(u)
	})
}
