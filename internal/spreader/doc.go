// Package spreader keeps the current configuration of an instance, commits operators' acts to
// the platform's store and distributes them between instances. An act is one operator change,
// which is applied atomically.
//
// A withdrawal permanently disables a key, version, adapter or batch; the set of withdrawals
// only grows. A configuration is only replaced by one with a higher revision. An act is
// accepted once the compare-and-swap of the head succeeded; the head is the record that names
// the revision of every document in force. The act is then pushed to all instances at once.
// Instances that missed a push detect that by comparing the digests that are sent with
// heartbeats. At most two instances of a failure domain watch the store.
package spreader
