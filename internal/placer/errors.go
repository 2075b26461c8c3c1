package placer

import "strconv"

// Malformed reports a message that cannot be decoded.
type Malformed struct {
	// Sender is the instance that sent it.
	Sender string
	// Cause is the decoder's error.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string {
	return "malformed demand from " + e.Sender + ": " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *Malformed) Unwrap() error { return e.Cause }

// WrongDomain reports a message from another failure domain.
type WrongDomain struct {
	// Sender is the instance that sent it.
	Sender string
	// Domain is the sender's failure domain.
	Domain string
}

// Error implements error.
func (e *WrongDomain) Error() string {
	return "demand from " + e.Sender + " of failure domain " + e.Domain
}

// Superseded reports that the ledger was written by another holder of the duty, usually
// under a higher epoch.
type Superseded struct {
	// Key is the ledger's key in the store.
	Key string
	// Epoch is the epoch that wrote it.
	Epoch uint64
}

// Error implements error.
func (e *Superseded) Error() string {
	return "ledger " + e.Key + " was written by another holder under epoch " + strconv.FormatUint(e.Epoch, 10)
}

// Unreadable reports a document that cannot be decoded.
type Unreadable struct {
	// Key is the document's key in the store.
	Key string
	// Cause is the decoder's error.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string { return "malformed document " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the decoder's error.
func (e *Unreadable) Unwrap() error { return e.Cause }

// StoreBackoff reports that the store was not called because a recent call to it failed.
type StoreBackoff struct {
	// Key is the document's key in the store.
	Key string
}

// Error implements error.
func (e *StoreBackoff) Error() string { return "store failed recently, skipped access to " + e.Key }
