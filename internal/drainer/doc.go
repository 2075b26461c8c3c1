// Package drainer tracks which upstreams have told in an answer, to this instance or to another one, that they leave. An upstream tells so
// before the store lists it as leaving, or while an instance does not reach the store.
//
// A departure names one start of an upstream, at its address: another start under the same name, or another upstream at the
// same address, is not taken for it. An upstream does not come back from leaving within one start, so that a departure needs no
// end; it is forgotten with the upstream's entry in the list.
package drainer
