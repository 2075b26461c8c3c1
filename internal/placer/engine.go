package placer

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// connectionGrace is how long after an order's expiry the connection that carries it may
// remain open. Engines that do not check fencing numbers may execute the order until then.
const connectionGrace = 250 * time.Millisecond

// Engine is the state of one engine of the group.
type Engine struct {
	// Name is its name in the platform's list.
	Name string
	// Bytes is its accelerator memory as configured by the operators; zero if not
	// configured.
	Bytes int64
	// Fencing is set if the engine rejects orders with an old fencing number.
	Fencing bool
	// Leaving is set if the engine must not get new work.
	Leaving bool
	// Report is its latest report.
	Report reporter.Report
	// Reported is set if a report was received.
	Reported bool
	// Quarantine ends when a report newer than this time arrives; until then nothing is
	// placed on the engine.
	Quarantine time.Time
}

// acceptsCopies reports whether new copies may be placed on the engine.
func (e *Engine) acceptsCopies() bool {
	return e.Reported && !e.Leaving && !e.Report.Leaving && e.trusted()
}

// trusted reports whether the report is new enough to show the effects of all orders that
// earlier holders sent.
func (e *Engine) trusted() bool {
	return e.Reported && e.Report.At.After(e.Quarantine)
}

// usableBytes returns the memory that copies may use: the smaller of the configured and the
// reported size.
func (e *Engine) usableBytes() int64 {
	if e.Bytes == 0 || e.Report.Bytes > 0 && e.Report.Bytes < e.Bytes {
		return e.Report.Bytes
	}
	return e.Bytes
}

// conclusive reports whether the report shows every effect that an order will ever have,
// because it is newer than the order's expiry. A higher fencing number in the report is
// weaker evidence: an engine that restarts may forget the number and then accept the order.
func (e *Engine) conclusive(intent Intent) bool {
	if !e.Reported {
		return false
	}
	if e.Fencing {
		return e.Report.At.After(intent.Expiry)
	}
	return e.Report.At.After(intent.Expiry.Add(connectionGrace))
}

// finished reports whether an intent can have no further effect.
func (e *Engine) finished(intent Intent) bool {
	if !e.conclusive(intent) {
		return false
	}
	if intent.Kind == orderer.Unload {
		return true
	}
	for i := range e.Report.Copies {
		if e.Report.Copies[i].Checkpoint == intent.Checkpoint {
			return e.Report.Copies[i].State != reporter.CopyLoading
		}
	}
	return true
}

// reportsCheckpoint reports whether the report contains a copy of a checkpoint.
func (e *Engine) reportsCheckpoint(checkpoint string) bool {
	return slices.ContainsFunc(e.Report.Copies, func(loaded reporter.Copy) bool {
		return loaded.Checkpoint == checkpoint
	})
}
