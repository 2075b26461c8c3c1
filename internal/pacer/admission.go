package pacer

// Admission states whether a request may be sent to an upstream now.
type Admission int

const (
	// Denied means that the upstream's limit leaves no room for a request now.
	Denied Admission = iota
	// Admitted means that the upstream has no limit, or that a permit was used.
	Admitted
	// Pending means that a permit has been asked for. Config.Changed is called once the answer is here, after
	// a few milliseconds.
	Pending
)
