package runner

import "github.com/buckthorngap/buckthorngap/internal/emulator/recorder"

// Request is the journal entry of one request that ran.
type Request struct {
	// ID is the value of X-Request-Id.
	ID string `json:"id"`
	// Model is the requested checkpoint or adapter.
	Model string `json:"model"`
	// Checkpoint is the checkpoint of the copy that ran the request.
	Checkpoint string `json:"checkpoint"`
	// Prompt is the length of the prompt, in tokens.
	Prompt int `json:"prompt"`
	// Tokens is the number of tokens that were sent.
	Tokens int `json:"tokens"`
	// Hit is set if the prompt's prefix was cached.
	Hit bool `json:"hit,omitempty"`
	// Resumed is set if the request resumed a broken stream after its first token.
	Resumed bool `json:"resumed,omitempty"`
	// End is how the request ended: EndDone, EndCancelled or EndBroken.
	End string `json:"end"`
	// Metadata is the metadata of the HTTP request.
	Metadata recorder.Metadata `json:"seen"`
}
