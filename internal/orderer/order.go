package orderer

import "time"

// Order is one order to an engine, with its fencing number and expiry.
type Order struct {
	// ID identifies the order; an engine executes each ID at most once.
	ID string
	// Kind is the requested action.
	Kind Kind
	// Epoch is the fencing number: the epoch of the duty under which the order is sent.
	Epoch uint64
	// Expiry is the time from which engines refuse the order.
	Expiry time.Time
	// Checkpoint is the checkpoint to load or unload, or that of the adapter.
	Checkpoint string
	// Adapter is the adapter to load or unload.
	Adapter string
	// Bytes is the memory to allocate, in bytes; for a checkpoint it includes the pool
	// for its adapters.
	Bytes int64
	// Role is the new role.
	Role string
}
