package app

import (
	"github.com/buckthorngap/buckthorngap/internal/evacuator"
	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// wireEvacuation creates the evacuator, which knows the failure domains that an operator has evacuated.
func (f *Front) wireEvacuation() {
	f.evacuator = evacuator.New(evacuator.Config{
		Prefix:  f.config.EvacuationPrefix,
		Changed: f.evacuate,
		Tell:    f.informer.Tell,
		Now:     f.now,
		Log:     f.log,
	})
}

// evacuate stops new requests to the upstreams of evacuated failure domains and lets those of domains that were taken back
// have some. Waiting requests go elsewhere; those that only evacuated upstreams could run are refused.
func (f *Front) evacuate(state evacuator.State) {
	if !state.Evacuated {
		f.assumeCold(state.Domain)
		f.router.Refresh()
		return
	}
	f.router.Refresh()
	f.queuer.RefuseWaiting(func(ticket queuer.Ticket) *refuser.Refusal { return f.server.RefuseStranded(ticket, state.Domain) })
}

// listUpstreams returns the listed upstreams. Those in evacuated failure domains are marked, and count as leaving to the parts
// that order loads, so that the models that only they hold are loaded elsewhere.
func (f *Front) listUpstreams() []storer.Instance {
	rows := f.upstreams.Upstreams()
	domains := f.evacuator.Domains()
	if len(domains) == 0 {
		return rows
	}
	for i := range rows {
		rows[i] = f.markEvacuated(rows[i])
	}
	return rows
}

// upstreamRow returns the list entry of an upstream, marked as in listUpstreams.
func (f *Front) upstreamRow(name string) (lister.Row, bool) {
	row, ok := f.upstreams.Row(name)
	row.Instance = f.markEvacuated(row.Instance)
	return row, ok
}

// markEvacuated marks an upstream in an evacuated failure domain.
func (f *Front) markEvacuated(row storer.Instance) storer.Instance {
	if f.evacuator.Evacuated(row.Domain) {
		row.Evacuated, row.Leaving = true, true
	}
	return row
}
