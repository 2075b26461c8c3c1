// Package platformer emulates the platform: its key-value service with
// compare-and-swap, leases and watches, and its list of instances, which lags,
// over HTTP and JSON. It counts every call and can inject the faults of the real
// platform.
package platformer
