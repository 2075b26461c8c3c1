// Package reporter polls the load reports of upstreams and shares them between the instances
// of a failure domain.
package reporter

import "time"

// Place is the storage tier from which a checkpoint that is not loaded can be read.
type Place string

// The storage tiers of a checkpoint, fastest first.
const (
	// PlaceMemory is the host memory of the engine.
	PlaceMemory Place = "memory"
	// PlaceDisk is the disk of the engine.
	PlaceDisk Place = "disk"
	// PlaceRemote is the weight store.
	PlaceRemote Place = "remote"
)

// CopyState is the state of a loaded copy.
type CopyState string

// The states of a copy on an engine.
const (
	// CopyLoading copies cannot serve requests yet but already occupy their memory.
	CopyLoading CopyState = "loading"
	// CopyReady copies serve requests.
	CopyReady CopyState = "ready"
	// CopyUnloading copies no longer serve requests but still occupy their memory.
	CopyUnloading CopyState = "unloading"
)

// Copy is one loaded model version on an engine.
type Copy struct {
	// Checkpoint names the loaded weights.
	Checkpoint string `json:"checkpoint"`
	// Bytes is the accelerator memory that the copy occupies, including the adapter pool, in bytes.
	Bytes int64 `json:"bytes"`
	// State is the copy's state.
	State CopyState `json:"state"`
	// Order is the identity of the order that loaded the copy.
	Order string `json:"order,omitempty"`
	// Adapters are the names of the adapters that are ready on this copy.
	Adapters []string `json:"adapters,omitempty"`
	// Reading are the names of the adapters that are being read: they occupy memory but cannot
	// serve requests yet.
	Reading []string `json:"reading,omitempty"`
	// Running is the number of requests that the copy is running.
	Running int `json:"running"`
}

// Report is an upstream's own report of its load. It lags behind the upstream's state.
type Report struct {
	// Upstream is the upstream's name in the platform's list.
	Upstream string `json:"upstream"`
	// At is the time for which the report holds, by the upstream's clock; zero if the report
	// does not contain what is running.
	At time.Time `json:"at"`
	// Sequence numbers the reports since the upstream's start.
	Sequence uint64 `json:"sequence"`
	// Orders is the number of orders that the upstream has accepted since its start, if it
	// reports that.
	Orders uint64 `json:"orders,omitempty"`
	// Start identifies the start of the upstream; it differs after each restart.
	Start string `json:"start"`
	// Bytes is the accelerator memory, in bytes.
	Bytes int64 `json:"bytes"`
	// Used is the accelerator memory in use, loading copies included, in bytes.
	Used int64 `json:"used"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// Waiting is the number of requests that the upstream has queued.
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int `json:"slots"`
	// Copies are the loaded model versions.
	Copies []Copy `json:"copies,omitempty"`
	// Cached holds where checkpoints that are not loaded are cached, by checkpoint.
	Cached map[string]Place `json:"cached,omitempty"`
	// Busy is set while an order for a model is being carried out, if the upstream reports
	// that.
	Busy bool `json:"busy,omitempty"`
	// Epoch is the highest epoch (fencing token) that the upstream has seen in orders, if it
	// checks them.
	Epoch uint64 `json:"epoch,omitempty"`
	// Leaving is set once the upstream refuses new work.
	Leaving bool `json:"leaving,omitempty"`
	// Role is the kind of work that the engine does: "all", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}
