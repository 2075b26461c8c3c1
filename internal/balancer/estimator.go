package balancer

import (
	"math"
	"time"
)

const (
	// turnover is the time in which most requests of an upstream have ended and others have come: most streams last about a
	// second.
	turnover = time.Second
	// paceMemory is how long a stated pace says something about the present one: the pace changes several times a second.
	paceMemory = 300 * time.Millisecond
)

// Estimator estimates the present load of one upstream from what it stated. It is not safe for concurrent use.
type Estimator struct {
	// others is the number of requests of other instances at the time at. It averages the last statements: otherwise all
	// instances would leave an upstream together, and come back together once its load has fallen.
	others float64
	// pace is the pace that was stated last.
	pace float64
	at   time.Time
	// usualOthers and usualPace average more statements.
	usualOthers Average
	usualPace   Average
}

// Estimate is the load that an upstream is expected to have.
type Estimate struct {
	// Others is the number of requests of other instances that run or wait.
	Others float64
	// Unseen is how many of them are expected to have come since the upstream stated its load.
	Unseen float64
	// Pace is how long work takes, as a multiple of the usual time.
	Pace float64
}

// Observe records a load that the upstream stated at a time, and the number of its requests of other instances. It ignores
// statements that are older than the last one.
func (e *Estimator) Observe(at time.Time, load Load, others int) {
	if at.Before(e.at) {
		return
	}
	if e.at.IsZero() {
		e.others = float64(others)
	}
	e.at, e.others = at, (e.others+float64(others))/2
	e.usualOthers.Add(float64(others))
	if load.Pace > 0 {
		e.pace = load.Pace
		e.usualPace.Add(load.Pace)
	}
}

// Forget drops the load, which an upstream that has restarted no longer has. Its usual pace is that of its machine.
func (e *Estimator) Forget() {
	*e = Estimator{
		usualPace: e.usualPace,
	}
}

// Expect returns the load that the upstream is expected to have now. With age, a statement counts less, and what is usual for
// the upstream and its service more.
func (e *Estimator) Expect(now time.Time, mean *Mean) Estimate {
	others, pace := mean.Expect()
	others = e.usualOthers.Toward(others)
	pace = e.usualPace.Toward(pace)
	if e.at.IsZero() {
		return Estimate{
			Others: others,
			Unseen: others,
			Pace:   pace,
		}
	}
	age := max(0, now.Sub(e.at))
	kept := decay(age, turnover)
	estimate := Estimate{
		Others: e.others*kept + others*(1-kept),
		Unseen: others * (1 - kept),
		Pace:   pace,
	}
	if e.pace > 0 {
		kept = decay(age, paceMemory)
		estimate.Pace = e.pace*kept + pace*(1-kept)
	}
	return estimate
}

// decay returns the part of something that is left after a time, given the time in which most of it goes.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}
