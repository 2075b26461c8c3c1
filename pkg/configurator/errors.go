package configurator

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindTeam     Kind = "team"
	KindKey      Kind = "key"
	KindModel    Kind = "model"
	KindVersion  Kind = "version"
	KindAdapter  Kind = "adapter"
	KindBatch    Kind = "batch"
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
)

// NotFound reports a record that does not exist.
type NotFound struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the record's name; a version is written "model/version".
	Name string
}

// Error implements error.
func (e *NotFound) Error() string { return string(e.Kind) + " " + e.Name + " does not exist" }

// Used reports a name or hash that was given before and is never given again.
type Used struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the name that was used before.
	Name string
}

// Error implements error.
func (e *Used) Error() string { return string(e.Kind) + " " + e.Name + " was created before" }

// Invalid reports a value that a record must not have.
type Invalid struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the record's name.
	Name string
	// Field is the offending field.
	Field string
	// Reason says what is wrong.
	Reason string
}

// Error implements error.
func (e *Invalid) Error() string {
	return string(e.Kind) + " " + e.Name + ": " + e.Field + " " + e.Reason
}

// InUse reports a record that cannot be removed because another needs it.
type InUse struct {
	// Kind is the kind of the record.
	Kind Kind
	// Name is the record's name.
	Name string
	// By is the record that needs it.
	By string
}

// Error implements error.
func (e *InUse) Error() string { return string(e.Kind) + " " + e.Name + " is in use by " + e.By }

// Repeated reports a change whose identity was applied before.
type Repeated struct {
	// ID is the identity of the change.
	ID string
	// Revision is the revision that the change made.
	Revision uint64
}

// Error implements error.
func (e *Repeated) Error() string { return "change " + e.ID + " was applied before" }

// Malformed reports bytes or a change that cannot be read.
type Malformed struct {
	// What is what was read.
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

// Mismatch reports documents that do not have the digest that their head names.
type Mismatch struct {
	// Document is the name of the first document that differs.
	Document string
}

// Error implements error.
func (e *Mismatch) Error() string { return "document " + e.Document + " differs from its digest" }

// TooLarge reports a document above the largest value of the platform's store.
type TooLarge struct {
	// Document is the document's name.
	Document string
	// Bytes is the length that it would have.
	Bytes int
}

// Error implements error.
func (e *TooLarge) Error() string { return "document " + e.Document + " would be too large" }
