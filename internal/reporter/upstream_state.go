package reporter

import (
	"encoding/json"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// upstreamState holds the latest report of one upstream and the state of its polls.
type upstreamState struct {
	name string
	// row is the upstream's row in the platform's list.
	row atomic.Pointer[storer.Instance]
	// own is set if this instance polls the upstream.
	own atomic.Bool
	// polling is set while a poll is queued or running.
	polling atomic.Bool
	// lastEvent is the sequence number of the last cache event that was read. Only the polling worker uses it.
	lastEvent uint64
	// refused is set if the head of the last answer exceeded the limit. Only the polling worker uses it.
	refused bool

	// Reporter.mu guards the fields below.
	report   Report
	received time.Time
	// digest is the digest of the report's shape.
	digest uint64
	// changes counts the changes of the report in a part that peers need.
	changes uint64
}

// newer reports whether a report is newer than the stored one.
func (u *upstreamState) newer(report Report) bool {
	if u.received.IsZero() {
		return true
	}
	if report.Start == u.report.Start {
		return report.Sequence > u.report.Sequence || report.Sequence == 0 && report.At.After(u.report.At)
	}
	return report.At.After(u.report.At)
}

// store stores a report, and increments changes if the report differs in a part that peers need.
func (u *upstreamState) store(report Report, now time.Time) {
	if u.received.IsZero() || differs(u.report, report) {
		u.changes++
	}
	u.report = report
	u.received = now
	u.digest = digest(report)
}

// differs reports whether two reports differ in a part that peers need.
func differs(a, b Report) bool {
	return a.Start != b.Start || a.Used != b.Used || a.Running != b.Running || a.Waiting != b.Waiting || digest(a) != digest(b)
}

// digest returns the digest of a report's shape: the part that rarely changes.
func digest(report Report) uint64 {
	report.At = time.Time{}
	report.Sequence = 0
	report.Used = 0
	report.Running = 0
	report.Waiting = 0
	copies := make([]Copy, len(report.Copies))
	for i, loaded := range report.Copies {
		loaded.Running = 0
		copies[i] = loaded
	}
	report.Copies = copies
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(report)
	return hash.Sum64()
}
