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
	// Prompt is the number of tokens of the prompt, if the engine reported it.
	Prompt int64
	// Generated is the number of tokens that were generated.
	Generated int64
	// Usage is set if the engine reported Prompt and Generated.
	Usage bool
	// Status is the HTTP status of the upstream's answer.
	Status int
	// First is when the first token arrived; zero if none did.
	First time.Time
}
