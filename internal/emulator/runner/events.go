package runner

// Events is the JSON answer that lists cache events.
type Events struct {
	// Events are the events, ordered by sequence number.
	Events []Event `json:"events"`
}
