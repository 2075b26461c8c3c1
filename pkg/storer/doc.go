// Package storer defines the client interface of the platform's key-value service
// as buckthorngap uses it: compare-and-swap, leases, watches and the list of
// instances.
//
// The interface is the struct Store, whose function fields are set by a binding to
// a specific service. Any call may fail with an Unavailable error although it took
// effect. Callers of Swap resolve that by putting a unique write ID into the value
// and reading the entry back; see Store.SwapIdentified.
package storer
