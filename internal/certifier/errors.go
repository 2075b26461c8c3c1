package certifier

// Unverified reports a peer without a verified certificate.
type Unverified struct {
	// Cause is the error of the verification, or nil if the peer presented no certificate.
	Cause error
}

// Error implements error.
func (e *Unverified) Error() string {
	if e.Cause == nil {
		return "the peer has no verified certificate"
	}
	return "the peer's certificate is not valid: " + e.Cause.Error()
}

// Unwrap returns the error of the verification.
func (e *Unverified) Unwrap() error { return e.Cause }

// Mismatch reports a valid certificate whose subject is not the expected one.
type Mismatch struct {
	// Want describes the expected subject.
	Want string
	// Got describes the subject of the certificate.
	Got string
}

// Error implements error.
func (e *Mismatch) Error() string {
	return "the certificate is made out to " + e.Got + ", not to " + e.Want
}

// Unusable reports a certificate, key or authority that cannot be generated, read or written.
type Unusable struct {
	// What is the name of the file or step that failed.
	What string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (e *Unusable) Error() string {
	if e.Cause == nil {
		return "unusable certificate: " + e.What
	}
	return "unusable certificate: " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *Unusable) Unwrap() error { return e.Cause }

// Replaced reports that the store holds another authority than the one in use.
type Replaced struct{}

// Error implements error.
func (e *Replaced) Error() string {
	return "the store holds another authority than the one in use; instances that trust it are not trusted here"
}
