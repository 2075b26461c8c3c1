// Package reporter reads the load reports of upstreams and shares them between
// the instances of a failure domain.
package reporter

import "time"

// Place is where a checkpoint is cached.
type Place string

// The places of a checkpoint, nearest first.
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
	// CopyLoading copies cannot serve yet but take their memory.
	CopyLoading CopyState = "loading"
	// CopyReady copies serve requests.
	CopyReady CopyState = "ready"
	// CopyUnloading copies no longer serve but still take their memory.
	CopyUnloading CopyState = "unloading"
)

// Copy is one loaded version on an engine.
type Copy struct {
	// Checkpoint is what is loaded.
	Checkpoint string `json:"checkpoint"`
	// Bytes is the accelerator memory taken, in bytes, adapters' pool included.
	Bytes int64 `json:"bytes"`
	// State is the copy's state.
	State CopyState `json:"state"`
	// Order is the identity of the order that loaded it.
	Order string `json:"order,omitempty"`
	// Adapters are the names of the adapters that are ready beside it.
	Adapters []string `json:"adapters,omitempty"`
	// Reading are the names of the adapters that are being read: they take their
	// memory but cannot serve yet.
	Reading []string `json:"reading,omitempty"`
	// Running is the number of requests that it runs.
	Running int `json:"running"`
}

// Report is what an upstream says of its load. It lags.
type Report struct {
	// Upstream is the upstream's name in the platform's list.
	Upstream string `json:"upstream"`
	// At is when the report was true, by the upstream's clock; zero if the report
	// does not tell what runs.
	At time.Time `json:"at"`
	// Sequence numbers the reports of one start of the upstream.
	Sequence uint64 `json:"sequence"`
	// Orders is the number of orders that the upstream has accepted since its
	// start, where it tells.
	Orders uint64 `json:"orders,omitempty"`
	// Start differs for each start of the upstream.
	Start string `json:"start"`
	// Bytes is the accelerator memory, in bytes.
	Bytes int64 `json:"bytes"`
	// Used is the accelerator memory in use, loading copies included, in bytes.
	Used int64 `json:"used"`
	// Running is the number of requests that run.
	Running int `json:"running"`
	// Waiting is the number of requests that the upstream holds back.
	Waiting int `json:"waiting"`
	// Slots is the number of requests that it can run at once.
	Slots int `json:"slots"`
	// Copies are the loaded versions.
	Copies []Copy `json:"copies,omitempty"`
	// Cached tells where checkpoints are cached that are not loaded.
	Cached map[string]Place `json:"cached,omitempty"`
	// Busy is set while an order for a model is being carried out, where the
	// upstream tells.
	Busy bool `json:"busy,omitempty"`
	// Epoch is the highest fencing number seen, if the upstream checks it.
	Epoch uint64 `json:"epoch,omitempty"`
	// Leaving is set once the upstream refuses new work.
	Leaving bool `json:"leaving,omitempty"`
	// Role is what the engine does: "all", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}
