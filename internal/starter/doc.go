// Package starter starts the processes of a site on one machine: entry
// instances in several failure domains, and emulators of the platform, the
// weight store, the network, engines and services. Integration tests and
// measurements use it; it ends only processes that it started.
package starter
