// Package pacer keeps the requests that all instances together send to an upstream within the rate
// that the upstream states in its answers.
package pacer
