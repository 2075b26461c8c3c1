package lister

import (
	"cmp"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Row is an upstream's entry in the list: its registration and its report.
type Row struct {
	// Instance is the upstream.
	Instance storer.Instance
	// Report is its reported state. Sequence is the store's revision of the entry.
	Report reporter.Report
	// Writes is how often the upstream has written the entry since its start; zero if the entry does not tell.
	Writes uint64
	// Received is the time at which this instance learned of the report.
	Received time.Time
	// ColdLeft is how long the upstream was going to stay cold when it wrote the entry; zero if it was not.
	ColdLeft time.Duration
	// Departed is set if the upstream has told in an answer that it leaves.
	Departed bool
}

// precedes reports whether a row of a restored store is older than another one of the same upstream: it is of an earlier
// start, or was written earlier, or shows an upstream that was leaving as staying.
func (r Row) precedes(other Row) bool {
	if r.Report.Start != other.Report.Start {
		return compareStarts(r.Report.Start, other.Report.Start) < 0
	}
	return r.Writes < other.Writes || other.Instance.Leaving && !r.Instance.Leaving
}

// compareStarts compares the times of two starts, which are decimal numbers.
func compareStarts(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }
