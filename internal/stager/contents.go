package stager

import (
	"maps"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// contents are the checkpoints that an engine holds, each with its adapters.
type contents map[string]map[string]bool

// contentsOf returns the checkpoints of a report with their adapters, including adapters that
// are still being read, since these already take memory.
func contentsOf(report reporter.Report) contents {
	held := make(contents, len(report.Copies))
	for _, loaded := range report.Copies {
		adapters := make(map[string]bool, len(loaded.Adapters))
		for _, adapter := range slices.Concat(loaded.Adapters, loaded.Reading) {
			adapters[adapter] = true
		}
		held[loaded.Checkpoint] = adapters
	}
	return held
}

// union returns a copy of all contents together.
func union(sources ...contents) contents {
	all := contents{}
	for _, source := range sources {
		for checkpoint, adapters := range source {
			if all[checkpoint] == nil {
				all[checkpoint] = make(map[string]bool, len(adapters))
			}
			maps.Copy(all[checkpoint], adapters)
		}
	}
	return all
}

// with applies changes to the contents and returns them.
func (c contents) with(changes []pendingChange) contents {
	for _, change := range changes {
		change.apply(c)
	}
	return c
}

// equal reports whether both hold the same.
func (c contents) equal(other contents) bool {
	return maps.EqualFunc(c, other, func(a, b map[string]bool) bool { return maps.Equal(a, b) })
}

// countAdapters returns the number of adapters in the contents of an engine.
func countAdapters(current contents) int {
	total := 0
	for _, adapters := range current {
		total += len(adapters)
	}
	return total
}
