// Package relayer shares what a few instances of each failure domain read from the store with the
// domain's other instances, so that calls to the store and the decoding of its answers do not grow
// with the number of instances.
//
// The readers follow from the list of live instances, without an election: two instances that
// disagree about them merely read more than necessary. Each answer carries the revision up to which
// it is complete and how long ago the store confirmed that; an instance that gets no sufficiently
// fresh answer reads the store itself.
package relayer
