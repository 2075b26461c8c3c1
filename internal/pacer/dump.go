package pacer

import (
	"cmp"
	"slices"
	"time"
)

// Row describes the limit of one upstream in a state dump.
type Row struct {
	// Upstream is the name of the upstream.
	Upstream string `json:"upstream"`
	// Limited is set while the upstream states a limit.
	Limited bool `json:"limited"`
	// Rate is the stated limit, in requests per second.
	Rate float64 `json:"rate"`
	// Cold is the end of the time in which the upstream is cold; zero if there was none.
	Cold time.Time `json:"cold"`
	// ColdRate is the limit in that time, in requests per second.
	ColdRate float64 `json:"coldrate,omitempty"`
	// Stated is when an answer last stated it, or when the request was sent whose answer stated none.
	Stated time.Time `json:"stated"`
	// Own is when this instance itself last got an answer that stated it.
	Own time.Time `json:"own"`
	// First is the number of first attempts that this instance has sent there while it knew of the limit.
	First uint64 `json:"first"`
	// Repeated is the number of retries among what it has sent there.
	Repeated uint64 `json:"repeated"`
	// Denied is the number of times that the limit left no room for a request.
	Denied uint64 `json:"denied"`
	// Alone is the number of requests admitted while the holder of the upstream's duty did not answer.
	Alone uint64 `json:"alone"`
	// Granted is the number of permits that this instance has granted as the holder of the upstream's duty.
	Granted uint64 `json:"granted"`
	// Silent is set while the holder does not answer.
	Silent bool `json:"silent"`
}

// Dump returns the limits for operators: rows sorted by upstream.
func (p *Pacer) Dump() any {
	rows := []Row{}
	for _, g := range p.list() {
		row := g.row()
		row.Granted = p.grantedFor(g.upstream)
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return rows
}

// grantedFor returns the number of permits that this instance has granted for an upstream in its current or last term.
func (p *Pacer) grantedFor(upstream Upstream) uint64 {
	p.granting.Lock()
	defer p.granting.Unlock()
	if s := p.schedules[upstream]; s != nil {
		return s.granted
	}
	return 0
}

// row returns the gate's entry in a state dump.
func (g *gate) row() Row {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Row{
		Upstream: g.upstream.Name,
		Limited:  g.limit.limited,
		Rate:     g.limit.rate,
		Cold:     g.limit.cold.until,
		ColdRate: g.limit.cold.rate,
		Stated:   g.limit.at,
		Own:      g.ownAt,
		First:    g.counts.first,
		Repeated: g.counts.repeated,
		Denied:   g.counts.denied,
		Alone:    g.counts.fallback,
		Silent:   g.fallback != nil,
	}
}
