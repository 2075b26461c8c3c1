package tracker

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// readersPerDomain is the number of instances of a domain that read the platform's list
	// regularly.
	readersPerDomain = 2
	// maxAgeIntervals times ListInterval is the age of its copy at which any instance reads the list
	// itself.
	maxAgeIntervals = 5
	// maxBackoffIntervals times ListInterval is the longest wait after failures.
	maxBackoffIntervals = 16
)

// listReader reads the platform's list. A few instances of each failure domain do so regularly; the
// others copy it from them and read it only if their copy gets too old.
type listReader struct {
	tracker  *Tracker
	failures int
	// next is the earliest time of the next read.
	next time.Time
}

func (r *listReader) loop(ctx context.Context) {
	config := r.tracker.config
	ticker := time.NewTicker(config.ListInterval / 2)
	defer ticker.Stop()
	for {
		if r.due(config.Now()) {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due reports whether the list should be read now.
func (r *listReader) due(now time.Time) bool {
	t := r.tracker
	if t.config.List == nil || now.Before(r.next) {
		return false
	}
	age, ok := t.list.age(now)
	if !ok {
		return true
	}
	if t.isReader() {
		return age >= t.config.ListInterval
	}
	return age >= maxAgeIntervals*t.config.ListInterval
}

// isReader reports whether this instance is one of its domain's readers, which follow from the
// names of the alive members.
func (t *Tracker) isReader() bool {
	candidates := []string{t.config.Self.Name}
	for _, member := range t.Alive(t.config.Self.Domain) {
		candidates = append(candidates, member.Peer.Name)
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Compare(hash(topicRows, a), hash(topicRows, b))
	})
	return slices.Index(candidates, t.config.Self.Name) < readersPerDomain
}

// read reads the list once and backs off exponentially after failures.
func (r *listReader) read(ctx context.Context) {
	t := r.tracker
	before := t.config.Now()
	ctx, cancel := context.WithTimeout(ctx, t.config.ListInterval)
	defer cancel()
	list, err := t.config.List(ctx)
	if err != nil {
		r.failures++
		r.next = t.config.Now().Add(t.config.ListInterval * time.Duration(min(1<<min(r.failures, 10), maxBackoffIntervals)))
		metrics.GetOrCreateCounter(`buckthorngap_list_readings_total{result="failed"}`).Inc()
		if r.failures == 1 {
			t.config.Log.WithFields(logrus.Fields{
				"error": err,
			}).Warn("list.unavailable")
		}
		return
	}
	r.failures = 0
	r.next = time.Time{}
	metrics.GetOrCreateCounter(`buckthorngap_list_readings_total{result="done"}`).Inc()
	t.applyList(list, before)
}
