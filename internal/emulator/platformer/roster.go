package platformer

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// roster holds the list of instances and its earlier versions, so that it can
// serve the list as it was some time ago. Platform.mutex guards it.
type roster struct {
	lag      time.Duration
	versions []rosterVersion
}

// rosterVersion is the list of instances from one change, at the time changed, to the next.
type rosterVersion struct {
	changed time.Time
	rows    []storer.Instance
}

func newRoster(lag time.Duration, rows []storer.Instance) *roster {
	return &roster{
		lag: lag,
		versions: []rosterVersion{{
			rows: slices.Clone(rows),
		}},
	}
}

// change appends a version, which edit returns for a copy of the latest rows.
func (r *roster) change(now time.Time, edit func([]storer.Instance) []storer.Instance) {
	latest := r.versions[len(r.versions)-1].rows
	r.versions = append(r.versions, rosterVersion{
		changed: now,
		rows:    edit(slices.Clone(latest)),
	})
}

// visible returns the rows as they were one lag ago, and drops older versions.
func (r *roster) visible(now time.Time) []storer.Instance {
	limit := now.Add(-r.lag)
	for len(r.versions) > 1 && !r.versions[1].changed.After(limit) {
		r.versions = r.versions[1:]
	}
	return r.versions[0].rows
}

func putRow(rows []storer.Instance, row storer.Instance) []storer.Instance {
	rows = removeRow(rows, row.Name)
	return append(rows, row)
}

func removeRow(rows []storer.Instance, name string) []storer.Instance {
	return slices.DeleteFunc(rows, func(row storer.Instance) bool { return row.Name == name })
}
