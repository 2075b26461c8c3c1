package forwarder

import "time"

// Result describes how a request was handled.
type Result struct {
	// Upstream is the last upstream that was tried.
	Upstream string
	// Attempts is the number of attempts.
	Attempts int
	// Resumes is the number of times that the stream was resumed after a break.
	Resumes int
	// PromptTokens is the number of tokens of the prompt, if the engine reported it.
	PromptTokens int64
	// GeneratedTokens is the number of tokens that were generated.
	GeneratedTokens int64
	// HasUsage is set if the engine reported PromptTokens and GeneratedTokens.
	HasUsage bool
	// Status is the HTTP status of the upstream's answer.
	Status int
	// FirstTokenAt is when the first token arrived; zero if none did.
	FirstTokenAt time.Time
}
