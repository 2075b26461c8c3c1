package router

import (
	"maps"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// snapshot is the state from an upstream's latest report, with overrides applied. It does not
// change once it is stored in the upstream.
type snapshot struct {
	// ready maps each ready checkpoint to the set of its ready adapters.
	ready map[string]map[string]struct{}
	// sequence is the report's sequence number; older reports are ignored.
	sequence uint64
	// start identifies the start of the upstream's process; it changes on a restart.
	start string
	// leaving is set if the upstream is shutting down and gets no new requests.
	leaving bool
}

// readyCopies returns the ready checkpoints of a report with their adapters.
func readyCopies(report reporter.Report) map[string]map[string]struct{} {
	ready := make(map[string]map[string]struct{}, len(report.Copies))
	for _, c := range report.Copies {
		if c.State != reporter.CopyReady {
			continue
		}
		adapters := make(map[string]struct{}, len(c.Adapters))
		for _, adapter := range c.Adapters {
			adapters[adapter] = struct{}{}
		}
		ready[c.Checkpoint] = adapters
	}
	return ready
}

// sameCopies reports whether two sets of ready checkpoints and adapters are equal.
func sameCopies(a, b map[string]map[string]struct{}) bool {
	if len(a) != len(b) {
		return false
	}
	for checkpoint, adapters := range a {
		others, ok := b[checkpoint]
		if !ok || len(others) != len(adapters) {
			return false
		}
		for adapter := range adapters {
			if _, ok := others[adapter]; !ok {
				return false
			}
		}
	}
	return true
}

// withOverrides returns a copy of the snapshot with the overrides applied, or the snapshot itself if
// there are none. It deletes expired overrides from the map.
func (s *snapshot) withOverrides(overrides map[overrideKey]override, now time.Time) *snapshot {
	if len(overrides) == 0 {
		return s
	}
	next := *s
	next.ready = make(map[string]map[string]struct{}, len(s.ready))
	for checkpoint, adapters := range s.ready {
		next.ready[checkpoint] = maps.Clone(adapters)
	}
	for key, entry := range overrides {
		if now.After(entry.expiry) {
			delete(overrides, key)
			continue
		}
		next.apply(key, entry.loaded)
	}
	return &next
}

// apply applies one override. It modifies the snapshot, which must not be shared yet.
func (s *snapshot) apply(key overrideKey, loaded bool) {
	adapters, known := s.ready[key.checkpoint]
	switch {
	case key.adapter == "" && loaded && !known:
		s.ready[key.checkpoint] = map[string]struct{}{}
	case key.adapter == "" && !loaded:
		delete(s.ready, key.checkpoint)
	case key.adapter == "" || !known:
	case loaded:
		adapters[key.adapter] = struct{}{}
	default:
		delete(adapters, key.adapter)
	}
}
