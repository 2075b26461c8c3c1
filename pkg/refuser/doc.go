// Package refuser defines the outcome of a request and the typed error that callers
// receive instead of an answer.
package refuser
