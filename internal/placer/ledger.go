package placer

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
)

// Ledger is the document that a duty holder keeps in the store. Each order is sent only
// after the ledger that permits it was written.
type Ledger struct {
	// Epoch is the epoch of the duty under which it was last written.
	Epoch uint64 `json:"epoch"`
	// Write identifies the write, to recognize it after its answer was lost.
	Write string `json:"write"`
	// Intents are the orders that may still take effect or whose effects are not yet
	// complete.
	Intents []Intent `json:"intents,omitempty"`
	// Allowances permit the holder to send loads while the store is unreachable.
	Allowances []Allowance `json:"allowances,omitempty"`
}

// Intent is the write-ahead record of one load or unload.
type Intent struct {
	// Order is the order's ID.
	Order string `json:"order"`
	// Kind is orderer.Load or orderer.Unload.
	Kind orderer.Kind `json:"kind"`
	// Engine is the engine's name.
	Engine string `json:"engine"`
	// Model is the model's name.
	Model string `json:"model"`
	// Version is the version's name.
	Version string `json:"version"`
	// Checkpoint is the checkpoint that the engine loads or unloads.
	Checkpoint string `json:"checkpoint"`
	// Bytes is the memory that the copy takes, its adapters' pool included, in bytes.
	Bytes int64 `json:"bytes"`
	// Epoch is the fencing number that the order carries.
	Epoch uint64 `json:"epoch"`
	// Expiry is when engines begin to reject the order.
	Expiry time.Time `json:"expiry"`
	// Slot is the weight store slot that a load uses, or empty if it reads no weights from
	// there.
	Slot string `json:"slot,omitempty"`
	// Extra is set if the load may exceed the model's replicas by one until the old version
	// is unloaded.
	Extra bool `json:"extra,omitempty"`
	// Since is when the first waiting request arrived; zero for unloads.
	Since time.Time `json:"since,omitzero"`
}

// Allowance permits the holder to load a model on an engine without recording the order
// while the store is unreachable. The next holder assumes that the copy was loaded until
// the engine's report shows whether it was.
type Allowance struct {
	// Epoch is the epoch of the duty whose holder may use it.
	Epoch uint64 `json:"epoch"`
	// Engine is the engine's name.
	Engine string `json:"engine"`
	// Model is the model's name.
	Model string `json:"model"`
	// Bytes is the memory that may be taken, in bytes.
	Bytes int64 `json:"bytes"`
	// Copies is the number of copies that may be loaded there.
	Copies int `json:"copies"`
}

// clone returns a copy that shares no slices with the original.
func (l *Ledger) clone() *Ledger {
	copied := *l
	copied.Intents = slices.Clone(l.Intents)
	copied.Allowances = slices.Clone(l.Allowances)
	return &copied
}
