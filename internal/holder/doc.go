// Package holder ensures that at most one instance of a failure domain holds a duty at a time. A
// duty is a role whose decisions must be taken by a single instance; its holder has it for a term,
// under a lease.
//
// A claim is a compare-and-swap in the store that takes a lock under a lease and raises the duty's
// epoch, its fencing token. The holder stops acting at its own deadline, which counts from before
// each renewal request was sent, less a safety margin. While the store is unreachable, some
// instances of the domain act as witnesses: they confirm the holder and so extend its term. A
// claimant waits until no former holder can have an extension left. See docs/design/duties.md.
package holder
