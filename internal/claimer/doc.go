// Package claimer ensures that a call with an idempotency key runs at most once, even if the caller repeats
// it through another instance or after an instance has crashed.
package claimer
