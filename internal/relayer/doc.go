// Package relayer passes what a few instances of each failure domain read from
// the store on to the others, so that calls to the store and the decoding of its
// answers do not grow with the number of instances.
//
// The readers follow from the list of live instances, without an election: two
// instances that disagree about them only read more than they need. Each answer
// names the revision up to which it is complete and how long ago the store said
// so; whoever gets no fresh answer reads the store itself.
package relayer
