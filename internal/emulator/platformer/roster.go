package platformer

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// roster is the list of instances with its older versions, from which it serves
// one that lags. Its owner locks it.
type roster struct {
	lag      time.Duration
	versions []rosterVersion
}

// rosterVersion is the list of instances from one change to the next.
type rosterVersion struct {
	at   time.Time
	rows []storer.Instance
}

func newRoster(lag time.Duration, rows []storer.Instance) *roster {
	return &roster{
		lag: lag,
		versions: []rosterVersion{{
			rows: slices.Clone(rows),
		}},
	}
}

// change appends a version that is an edit of the latest one.
func (r *roster) change(now time.Time, edit func([]storer.Instance) []storer.Instance) {
	latest := r.versions[len(r.versions)-1].rows
	r.versions = append(r.versions, rosterVersion{
		at:   now,
		rows: edit(slices.Clone(latest)),
	})
}

// visible returns the rows as they were one lag ago, and drops older versions.
func (r *roster) visible(now time.Time) []storer.Instance {
	limit := now.Add(-r.lag)
	for len(r.versions) > 1 && !r.versions[1].at.After(limit) {
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
