package pacer

// Upstream identifies one start of an upstream. A statement ends with the start that made it.
type Upstream struct {
	// Name is the upstream's name.
	Name string
	// Start identifies the start of its process; empty if it is not known.
	Start string
	// Domain is its failure domain.
	Domain string
}
