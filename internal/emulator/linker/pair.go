package linker

// Pair names two failure domains with a network partition between them.
type Pair struct {
	// A and B are the failure domains, in any order.
	A string `json:"a"`
	B string `json:"b"`
}
