package placer

import (
	"math"
	"time"
)

// requestDecay is the time constant of the exponential decay of past requests.
const requestDecay = 10 * time.Minute

// Want is the summed demand of one or more instances for one key.
type Want struct {
	// Key identifies what has to be loaded.
	Key Key
	// Waiting is the number of requests that wait for a copy.
	Waiting int
	// Tokens is the maximum number of tokens that the waiting requests may use.
	Tokens int64
	// Recent is the number of requests, with exponential decay until Used.
	Recent float64
	// Used is when the last request arrived.
	Used time.Time
	// Since is when the first waiting request arrived.
	Since time.Time
	// Earliest is the first deadline of the waiting requests.
	Earliest time.Time
	// Latest is the last deadline of the waiting requests.
	Latest time.Time
	// Interactive is set if a caller waits for one of the requests.
	Interactive bool
	// Team is the team of the waiting request with the earliest deadline.
	Team string
}

// recentAt returns the decayed number of requests at a later time.
func (w *Want) recentAt(now time.Time) float64 {
	if w.Recent == 0 || !now.After(w.Used) {
		return w.Recent
	}
	return w.Recent * math.Exp(-now.Sub(w.Used).Seconds()/requestDecay.Seconds())
}

// addDemand counts one more request.
func (w *Want) addDemand(demand Demand, now time.Time) {
	w.Recent = w.recentAt(now) + 1
	w.Used = now
	w.addWaiting(Want{
		Waiting:     1,
		Tokens:      demand.Tokens,
		Since:       now,
		Earliest:    demand.Deadline,
		Latest:      demand.Deadline,
		Interactive: demand.Class != ClassOvernight,
		Team:        demand.Team,
	})
}

// addWaiting adds the waiting requests of another Want.
func (w *Want) addWaiting(other Want) {
	if other.Waiting == 0 {
		return
	}
	if w.Waiting == 0 || other.Earliest.Before(w.Earliest) {
		w.Earliest = other.Earliest
		w.Team = other.Team
	}
	if w.Waiting == 0 || other.Since.Before(w.Since) {
		w.Since = other.Since
	}
	if w.Waiting == 0 || other.Latest.After(w.Latest) {
		w.Latest = other.Latest
	}
	w.Waiting += other.Waiting
	w.Tokens += other.Tokens
	w.Interactive = w.Interactive || other.Interactive
}

// addWant adds the demand of another Want.
func (w *Want) addWant(other Want) {
	later := w.Used
	if other.Used.After(later) {
		later = other.Used
	}
	w.Recent = w.recentAt(later) + other.recentAt(later)
	w.Used = later
	w.addWaiting(other)
}

// clearWaiting removes the waiting requests.
func (w *Want) clearWaiting() {
	w.Waiting = 0
	w.Tokens = 0
	w.Interactive = false
	w.Since = time.Time{}
	w.Earliest = time.Time{}
	w.Latest = time.Time{}
	w.Team = ""
}
