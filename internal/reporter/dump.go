package reporter

import (
	"maps"
	"slices"
	"time"
)

// Row is the state of one upstream in a dump.
type Row struct {
	// Upstream is the upstream's name.
	Upstream string `json:"upstream"`
	// Own is set if this instance polls the upstream.
	Own bool `json:"own"`
	// Received is when the last report was received.
	Received time.Time `json:"received"`
	// Report is the last report.
	Report Report `json:"report"`
}

// Dump returns the state for operators: a Row for each upstream.
func (r *Reporter) Dump() any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rows := make([]Row, 0, len(r.upstreams))
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		u := r.upstreams[name]
		rows = append(rows, Row{
			Upstream: name,
			Own:      u.own.Load(),
			Received: u.received,
			Report:   u.report,
		})
	}
	return rows
}
