package servicer

// Answer is the JSON body of the answer to a call. With its fields a caller can
// check that the answer belongs to its own call.
type Answer struct {
	// Service is the name of the upstream that ran the call.
	Service string `json:"service"`
	// Method is the call's HTTP method.
	Method string `json:"method"`
	// Path is the call's path.
	Path string `json:"path"`
	// Body is the digest of the call's body.
	Body string `json:"body"`
	// Check is the Sum of the call's method, path and body.
	Check string `json:"check"`
}
