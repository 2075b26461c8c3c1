package stager

// Order is an order to an engine.
type Order struct {
	// Unload is set to drop what is named; else it is loaded.
	Unload bool
	// Checkpoint is the model's weights, or those that the adapter extends.
	Checkpoint string
	// Adapter is the adapter; empty for the checkpoint itself.
	Adapter string
	// Sequence is the number of orders that the engine must have accepted so far.
	Sequence uint64
	// Epoch is the fencing number.
	Epoch uint64
	// Holder is the instance that gives the order.
	Holder string
}

func (o Order) kind() string {
	if o.Unload {
		return "unload"
	}
	return "load"
}

// Answer is what an engine says to an order that it does not refuse.
type Answer int

// The answers.
const (
	// Begun orders are being carried out.
	Begun Answer = iota
	// Holding means that the order holds already or was carried out at once.
	Holding
)
