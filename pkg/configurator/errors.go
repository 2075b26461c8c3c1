package configurator

// NotFound reports a record that does not exist.
type NotFound struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the record's name; a version is written "model/version".
	Name string
}

// Error implements error.
func (e *NotFound) Error() string { return string(e.Kind) + " " + e.Name + " does not exist" }

// AlreadyUsed reports that the name or hash of a new record is already taken. Names of
// keys, versions and batches are never reused.
type AlreadyUsed struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the name of the existing record.
	Name string
}

// Error implements error.
func (e *AlreadyUsed) Error() string { return string(e.Kind) + " " + e.Name + " was created before" }

// Invalid reports a field of a record with a value that is not allowed.
type Invalid struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the record's name.
	Name string
	// Field is the name of the invalid field.
	Field string
	// Reason completes a sentence that begins with the field.
	Reason string
}

// Error implements error.
func (e *Invalid) Error() string {
	return string(e.Kind) + " " + e.Name + ": " + e.Field + " " + e.Reason
}

// InUse reports a record that cannot be removed because another refers to it.
type InUse struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the record's name.
	Name string
	// By is the kind and name of the record that refers to it.
	By string
}

// Error implements error.
func (e *InUse) Error() string { return string(e.Kind) + " " + e.Name + " is in use by " + e.By }

// Repeated reports that a change with the same ID was already applied.
type Repeated struct {
	// ID is the ID of the change.
	ID string
	// Revision is the revision that resulted from the change.
	Revision uint64
}

// Error implements error.
func (e *Repeated) Error() string { return "change " + e.ID + " was applied before" }

// Malformed reports data or a change that cannot be parsed or encoded.
type Malformed struct {
	// What describes the data.
	What string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string {
	if e.Cause == nil {
		return "malformed " + e.What
	}
	return "malformed " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *Malformed) Unwrap() error { return e.Cause }

// Mismatch reports a document that is missing or whose digest differs from the
// one in the head.
type Mismatch struct {
	// Document is the name of the first such document.
	Document string
}

// Error implements error.
func (e *Mismatch) Error() string { return "document " + e.Document + " differs from its digest" }

// TooLarge reports that a change would make a document larger than
// MaxDocumentBytes, which keeps it below the store's limit on values.
type TooLarge struct {
	// Document is the document's name.
	Document string
	// Bytes is the length that the document would have.
	Bytes int
}

// Error implements error.
func (e *TooLarge) Error() string { return "document " + e.Document + " would be too large" }
