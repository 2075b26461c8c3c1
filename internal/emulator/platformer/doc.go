// Package platformer emulates the platform over HTTP and JSON: its key-value
// service with compare-and-swap, leases and watches, and its list of instances,
// which shows changes after a delay. It counts every call and can inject the
// faults of the real platform.
package platformer
