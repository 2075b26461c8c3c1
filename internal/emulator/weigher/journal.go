package weigher

// Journal lists the fetches of a store.
type Journal struct {
	// Fetches are all fetches in order of arrival.
	Fetches []Fetch `json:"fetches"`
	// Peak is the highest number of fetches that ran at once.
	Peak int `json:"peak"`
	// Refused is the number of fetches that exceeded the rate limit.
	Refused int `json:"refused"`
}
