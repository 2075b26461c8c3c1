package weigher

import "time"

// Fetch is the journal entry of one fetch, and the request for it.
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

// Journal lists the fetches of a store.
type Journal struct {
	// Fetches are all fetches in order of arrival.
	Fetches []Fetch `json:"fetches"`
	// Peak is the highest number of fetches that ran at once.
	Peak int `json:"peak"`
	// Refused is the number of fetches that exceeded the rate limit.
	Refused int `json:"refused"`
}
