package servicer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
)

// Call is the journal entry of one call that ran.
type Call struct {
	// Request is the value of X-Request-Id.
	Request string `json:"request"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the URL's path.
	Path string `json:"path"`
	// Key is the idempotency key, or empty.
	Key string `json:"key,omitempty"`
	// Body is the digest of the call's body.
	Body string `json:"body"`
	// Count is the number of calls that ran with this key, including this one.
	Count int `json:"count"`
	// At is the time at which the call ran.
	At time.Time `json:"at"`
	// Metadata is the metadata of the HTTP request.
	Metadata recorder.Metadata `json:"seen"`
}
