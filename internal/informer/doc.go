// Package informer passes on among the instances what one of them has seen of an upstream or a failure domain: that an upstream
// leaves, that a failure domain is evacuated or taken back. Each fact names its subject and the time at which it was seen. The
// parts that use facts decide whether one is new to them; only then it is passed on again.
package informer
