package placer

import (
	"math"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// State is the complete input of a placement decision.
type State struct {
	// Now is the time of the decision.
	Now time.Time
	// Engines are the engines of the group.
	Engines []Engine
	// Ledger holds the orders that may still take effect. The planner does not modify it.
	Ledger *Ledger
	// Wants is the demand of all instances, summed by key.
	Wants []Want
	// Catalog looks up the operators' configuration.
	Catalog Catalog
	// Replicas returns the group's share of the copies that a model may have in the domain.
	Replicas func(model configurator.Model) int
	// Slots is how many loads from the weight store may begin now.
	Slots int
	// Adapters is how many adapter loads may begin now.
	Adapters int
	// Idle is the configured idle time: how long a copy stays loaded without requests under
	// parser.EvictAge, or the idle time that one cold start is worth under
	// parser.EvictCost.
	Idle time.Duration
	// Policy is parser.EvictCost or parser.EvictAge.
	Policy string
	// AdapterOrders are the adapter orders that may still take effect.
	AdapterOrders []AdapterOrder
	// ClaimedAt is when this instance became the holder. No copy counts as idle from before
	// that, because the requests before it are not known.
	ClaimedAt time.Time
	// Gaps are the histograms of the time between requests, by model.
	Gaps map[string]*GapHistogram
	// CommonGaps is the histogram of the time between requests over all models.
	CommonGaps *GapHistogram
	// Prewarm are the models that are worth loading ahead of demand.
	Prewarm map[string]bool
	// ByArrival makes the planner load strictly in order of arrival. Measurements use it as a
	// baseline.
	ByArrival bool
	// TeamCosts is the recent load time that each team caused, in seconds, for fairness.
	TeamCosts map[string]float64

	disabled disabledProtections
}

// disabledProtections switches protections off, so that tests can show which faults each of
// them prevents.
type disabledProtections struct {
	// charges ignores intents when memory and copies are counted: only reports count.
	charges bool
	// quarantine places copies on engines whose reports may not show orders of earlier
	// holders.
	quarantine bool
	// expiryWait treats an intent as finished with the next report that does not show its
	// copy, without waiting until the order has expired.
	expiryWait bool
	// records sends orders that were not written to the store.
	records bool
	// termChecks sends orders without checking the term first.
	termChecks bool
	// slots ignores the slots that are in use.
	slots bool
	// readingAdapters ignores the memory of adapters that are still being read.
	readingAdapters bool
}

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

// connectionGrace is how long after an order's expiry the connection that carries it may
// remain open. Engines that do not check fencing numbers may execute the order until then.
const connectionGrace = 250 * time.Millisecond

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

// coldStartCost returns the cost of one cold start of a copy, expressed as idle time of
// that copy. Under parser.EvictCost the cost grows faster than the load time, because the
// tail latency counts.
func (s *State) coldStartCost(bytes int64) time.Duration {
	if s.Policy == parser.EvictAge {
		return s.Idle
	}
	ratio := loadTime(bytes, reporter.PlaceRemote).Seconds() / referenceLoadTime.Seconds()
	return time.Duration(float64(s.Idle) * math.Pow(ratio, tailExponent))
}
