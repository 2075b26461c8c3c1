package stager

// Order is an order to an engine to load or unload a model or an adapter.
type Order struct {
	// Unload is set to unload what the order names; otherwise it is loaded.
	Unload bool
	// Checkpoint names the weights of the model, or of the model that the adapter extends.
	Checkpoint string
	// Adapter names the adapter; empty if the order is for the checkpoint itself.
	Adapter string
	// Sequence is the number of orders that the engine must have accepted so far; otherwise it
	// refuses the order.
	Sequence uint64
	// Epoch is the fencing token of the holder's term.
	Epoch uint64
	// Holder is the name of the instance that sends the order.
	Holder string
}

// kind returns the name of the action, for the log.
func (o Order) kind() string {
	if o.Unload {
		return "unload"
	}
	return "load"
}
