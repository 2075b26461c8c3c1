// Package limiter enforces every team's rate and burst across all instances together. In each failure
// domain, the holder of a duty (a role that one instance at a time has under a lease) lends tokens to the domain's
// instances; the epoch is the fencing number of a holder's term. The budget of a team is conserved: a sender of
// tokens debits them before it sends, and a receiver credits them once.
package limiter
