// Package app creates the parts of one entry instance, connects them and runs them. An entry instance receives the
// requests of callers and forwards them to upstreams.
package app
