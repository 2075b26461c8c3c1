package runner

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// Report returns the engine's load report, which may be up to Config.MaxReportAge old.
func (r *Runner) Report() reporter.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	if r.sequence > 0 && now.Sub(r.report.At) < r.config.MaxReportAge {
		return r.report
	}
	r.sequence++
	running, waiting := r.slots.counts()
	r.report = reporter.Report{
		Upstream: r.config.Name,
		At:       now,
		Sequence: r.sequence,
		Start:    r.startID(),
		Bytes:    r.config.MemoryBytes,
		Used:     r.used,
		Running:  running,
		Waiting:  waiting,
		Slots:    r.config.Slots,
		Copies:   r.reportCopies(),
		Cached:   maps.Clone(r.cached),
		Epoch:    r.epoch,
		Leaving:  r.leaving,
		Role:     r.role,
	}
	return r.report
}

// reportCopies returns the copies ordered by checkpoint. The caller holds the lock.
func (r *Runner) reportCopies() []reporter.Copy {
	copies := make([]reporter.Copy, 0, len(r.copies))
	for _, checkpoint := range slices.Sorted(maps.Keys(r.copies)) {
		target := r.copies[checkpoint]
		copies = append(copies, reporter.Copy{
			Checkpoint: checkpoint,
			Bytes:      target.bytes,
			State:      target.state,
			Order:      target.order,
			Adapters:   slices.Sorted(maps.Keys(target.adapters)),
			Reading:    slices.Sorted(maps.Keys(target.reading)),
			Running:    target.running,
		})
	}
	return copies
}

func (r *Runner) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.Report())
}

// State holds figures that tests check and that are not part of the load report.
type State struct {
	// Peak is the highest memory use so far, in bytes.
	Peak int64 `json:"peak"`
	// Excess is the number of loads refused because they exceeded the memory.
	Excess int `json:"excess"`
	// Starts is the number of starts of the engine.
	Starts int `json:"starts"`
	// Requests is the number of requests that run or can be resumed.
	Requests int `json:"requests"`
}

// State returns the current figures.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Peak:     r.peak,
		Excess:   r.excess,
		Starts:   r.starts,
		Requests: len(r.streams),
	}
}

func (r *Runner) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.State())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
