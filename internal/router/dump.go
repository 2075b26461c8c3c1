package router

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/balancer"
)

// Row describes one upstream in a state dump.
type Row struct {
	// Upstream is the name of the upstream.
	Upstream string `json:"upstream"`
	// Service is the service that it is an instance of; may be empty for engines.
	Service string `json:"service,omitempty"`
	// Address is its listen address.
	Address string `json:"address"`
	// Leaving is set if it is shutting down or no longer listed, and so gets no new requests.
	Leaving bool `json:"leaving"`
	// Evacuated is set while its failure domain is evacuated, so that it gets no new requests either.
	Evacuated bool `json:"evacuated,omitempty"`
	// Running is the number of requests that this instance has running there.
	Running int `json:"running"`
	// Others is the number of requests that other instances have running or waiting there, by its
	// last report or answer.
	Others int `json:"others"`
	// Expected is the number of requests that other instances are believed to have there by now, and Pace how long work is
	// believed to take there, as a multiple of the usual time; both are zero unless the service's upstreams state their pace.
	Expected float64 `json:"expected,omitempty"`
	Pace     float64 `json:"pace,omitempty"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// Failures is the number of consecutive failures.
	Failures int `json:"failures"`
	// Cooling is the time until which its circuit is open; zero while it is closed.
	Cooling time.Time `json:"cooling"`
	// Paused is the time until which it wants no requests of this instance; zero if it has not told so.
	Paused time.Time `json:"paused"`
	// Ready lists the checkpoints that it serves.
	Ready []string `json:"ready,omitempty"`
}

// Dump returns the state of all upstreams, sorted by name, for operators, with those that were removed and are remembered.
func (r *Router) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := maps.Clone(r.upstreams)
	maps.Copy(all, r.removed)
	rows := make([]Row, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		u := all[name]
		rows = append(rows, u.row(r.loads.of(*u.service.Load()).estimate(u, r.config.Now())))
	}
	return rows
}

// row returns the upstream's entry in a state dump.
func (u *upstream) row(estimate balancer.Estimate) Row {
	leaving := u.leaving()
	u.mu.Lock()
	defer u.mu.Unlock()
	return Row{
		Upstream:  u.name,
		Service:   *u.service.Load(),
		Address:   u.address.String(),
		Leaving:   leaving,
		Evacuated: u.evacuated.Load(),
		Running:   u.running,
		Others:    u.otherRequests,
		Expected:  estimate.Others,
		Pace:      estimate.Pace,
		Slots:     u.capacity,
		Failures:  u.failures,
		Cooling:   u.openUntil,
		Paused:    u.pause.until,
		Ready:     slices.Sorted(maps.Keys(u.snapshot.Load().ready)),
	}
}
