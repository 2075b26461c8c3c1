package router

// Need is what a request needs of an engine.
type Need struct {
	// Checkpoint is the version that must be loaded and ready.
	Checkpoint string
	// Adapter must be ready beside it; may be empty.
	Adapter string
	// Prefix is the hash of the prompt's prefix; 0 if it has none.
	Prefix uint64
	// Service is the service that it is for; empty means any.
	Service string
	// Parts are the parts of the prompt in order. If there are any, the engine is
	// chosen by what it likely keeps of them and by its load.
	Parts []Part
	// Fetch is set if an engine without the adapter may be chosen, since the
	// adapter is loaded before the request is sent.
	Fetch bool
	// Tokens is the memory that the request takes while it runs, in tokens.
	Tokens int64
	// Exclude names upstreams that were tried.
	Exclude []string
}
