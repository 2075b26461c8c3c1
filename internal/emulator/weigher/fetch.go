package weigher

import "time"

// Fetch is the journal entry of one fetch. Its first two fields are also the JSON body of the request.
type Fetch struct {
	// Checkpoint is the requested checkpoint.
	Checkpoint string `json:"checkpoint"`
	// Bytes is the checkpoint's size, in bytes.
	Bytes int64 `json:"bytes"`
	// At is the time at which the request arrived.
	At time.Time `json:"at"`
	// Ended is the time at which the fetch ended; zero while it runs.
	Ended time.Time `json:"ended"`
	// Running is the number of fetches that ran when this one began, including it unless it was refused.
	Running int `json:"running"`
	// Refused is set if the fetch exceeded the rate limit.
	Refused bool `json:"refused"`
}
