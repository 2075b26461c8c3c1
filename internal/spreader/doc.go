// Package spreader keeps the current configuration of an instance, commits operators' acts to
// the platform's store and distributes them between instances. An act is one operator change,
// which is applied atomically.
//
// A configuration is only ever replaced by one with a higher revision, and the set of
// withdrawals only grows. An act is accepted once the swap of the head succeeded; the head is
// the record that names the revision of every document in force. The act is then pushed to
// all instances at once. Instances that miss a push find out by comparing the digests that
// travel with heartbeats. At most two instances of a failure domain watch the store.
package spreader
