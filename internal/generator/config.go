package generator

import "time"

// Config configures a Generator.
type Config struct {
	// Engine is the base URL of the engine.
	Engine string
	// Checkpoint is the checkpoint requested from the engine.
	Checkpoint string
	// Entry is the base URL of the entry instance.
	Entry string
	// Model is the model requested from the entry instance.
	Model string
	// Secret is the secret of the key for the entry instance.
	Secret string
	// Streams is the number of concurrent streams.
	Streams int
	// Tokens is the length of each answer, in tokens.
	Tokens int
	// Requests is the number of requests that each stream sends in a round; at least 1.
	Requests int
	// Rounds is the number of rounds on each route, which alternate; at least 1.
	Rounds int
	// Stagger is the time over which the starts of a round's streams are spread.
	Stagger time.Duration
	// Pid is the process ID of the entry instance, whose CPU time and memory are measured; 0 measures neither.
	Pid int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}
