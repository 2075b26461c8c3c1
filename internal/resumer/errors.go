package resumer

import "time"

// Unknown reports a stream whose version cannot be determined.
type Unknown struct {
	// Versions are the versions that may have begun it.
	Versions []string
	// Age is how long ago the store confirmed that.
	Age time.Duration
	// Outdated is set if they are not relied on because of their age.
	Outdated bool
}

// Error implements error.
func (e *Unknown) Error() string { return "the software version that began the stream is not known" }

// Gone reports a stream whose version no engine runs any more.
type Gone struct {
	// Version is the version that began it.
	Version string
}

// Error implements error.
func (e *Gone) Error() string {
	return "no engine of the version that began the stream serves: " + e.Version
}

// Malformed reports data that cannot be decoded.
type Malformed struct {
	// What names the data.
	What string
	// Cause is the decoder's error.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string { return "malformed " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the decoder's error.
func (e *Malformed) Unwrap() error { return e.Cause }
