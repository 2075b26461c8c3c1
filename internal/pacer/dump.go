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
	// Stated is when an answer last stated it.
	Stated time.Time `json:"stated"`
	// First is the number of first attempts that this instance has sent there while it knew of the limit.
	First uint64 `json:"first"`
	// Repeated is the number of retries among what it has sent there.
	Repeated uint64 `json:"repeated"`
}

// Dump returns the limits for operators: rows sorted by upstream.
func (p *Pacer) Dump() any {
	rows := []Row{}
	for _, g := range p.list() {
		rows = append(rows, g.row())
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return rows
}

// row returns the gate's entry in a state dump.
func (g *gate) row() Row {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Row{
		Upstream: g.upstream.Name,
		Limited:  g.limited,
		Rate:     g.rate,
		Stated:   g.statedAt,
		First:    g.first,
		Repeated: g.repeated,
	}
}
