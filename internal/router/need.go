package router

import "slices"

// Need describes what a request requires of an upstream.
type Need struct {
	// Checkpoint is the model version that must be loaded and ready; empty for a request to a service.
	Checkpoint string
	// Adapter is the adapter that must be ready on the checkpoint; may be empty.
	Adapter string
	// Prefix is the hash of the prompt's prefix; 0 if it has none.
	Prefix uint64
	// Service is the service that the upstream must run; empty means any.
	Service string
	// Parts lists the parts of the prompt in order. If there are any, the engine is
	// chosen by how many of them it likely caches and by its load.
	Parts []PromptPart
	// AllowMissingAdapter admits engines without the adapter, because the adapter is loaded before the
	// request is sent.
	AllowMissingAdapter bool
	// Tokens is the memory that the request occupies while it runs, in tokens.
	Tokens int64
	// Exclude names upstreams that were tried already.
	Exclude []string
	// Versions are the software versions of the upstreams that suit the request, if Versioned is set. None means those at which
	// new streams may begin when the upstream is chosen.
	Versions  []string
	Versioned bool
	// Domains are the failure domains whose upstreams may get the request, if Bound is set.
	Domains []string
	Bound   bool
	// Waits is set if the request can wait for the permit of an upstream with a limit, rather than go to an
	// upstream that suits it less.
	Waits bool

	// awaitsPermit is set once a permit has been asked for, so that no other upstream is chosen.
	awaitsPermit bool
}

// suits reports whether the request may go to an upstream by its software version and failure domain.
func (n *Need) suits(u *upstream) bool {
	return n.Admits(*u.domain.Load()) && (!n.Versioned || slices.Contains(n.Versions, *u.version.Load()))
}

// Admits reports whether the request may go to upstreams of a failure domain.
func (n *Need) Admits(domain string) bool { return !n.Bound || slices.Contains(n.Domains, domain) }
