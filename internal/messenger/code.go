package messenger

// Code is the machine-readable reason of a refusal.
type Code string

// The codes of the messenger itself. Handlers may return a Refused with their own codes.
const (
	// CodeIdentity refuses a sender that does not match its certificate.
	CodeIdentity Code = "identity"
	// CodeStale refuses a sender if a newer incarnation of it has been seen.
	CodeStale Code = "stale"
	// CodeTopic refuses a topic without a handler.
	CodeTopic Code = "topic"
	// CodeMalformed refuses a message that cannot be decoded.
	CodeMalformed Code = "malformed"
	// CodeSize refuses a message or answer above MaxBytes.
	CodeSize Code = "size"
	// CodeBusy refuses a connection or message because a limit on concurrent work or memory is
	// reached.
	CodeBusy Code = "busy"
	// CodeFailed reports any other error of a handler, or an error while reading the message.
	CodeFailed Code = "failed"
)
