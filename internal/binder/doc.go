// Package binder implements storer.Store with calls to the platform's key-value service over HTTP and
// JSON. It limits the rate of calls, repeats failed reads and never repeats a write: a write whose
// answer is lost returns *storer.Unavailable.
package binder
