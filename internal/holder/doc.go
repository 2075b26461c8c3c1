// Package holder ensures that at most one instance of a failure domain holds a duty at a time. A
// duty is a role whose decisions must be taken by a single instance, under a lease. A term is one
// holding of a duty, and its epoch is the fencing token that identifies it. An incarnation is the
// number of a start of an instance.
//
// A claim takes a lock in the store under a lease by compare-and-swap, then raises the epoch in the
// duty's record. The holder stops acting at its own deadline, which counts from before each renewal
// request was sent, less a safety margin. While the store is unreachable, some instances of the
// domain act as witnesses: they confirm the holder and so extend its term. A claimant waits until no
// former holder can have an extension left. See docs/design/duties.md.
package holder
