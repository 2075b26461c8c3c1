// Package resumer keeps streams at the software version that began them. Engines of several versions may serve side by side,
// and what two of them write does not fit together.
//
// The store lists, for each service, the versions that may have begun a stream that can still be resumed. A version is used
// for streams only once it has been listed for a while, so that an instance whose copy of the list is not older than that knows
// every version in use. While a list has one version, that version began all streams. Otherwise the instances know which
// streams began where: each one keeps its own, passes them on with heartbeats, and asks the others. What they know is also stored
// in batches, for the case that all of them are killed. A stream whose version is not known for certain does not go on.
package resumer
