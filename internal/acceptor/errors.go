package acceptor

// HeadRefused reports that a connection was closed because there is no memory for the head of its request.
type HeadRefused struct{}

// Error implements error.
func (*HeadRefused) Error() string { return "no memory for the head of the request" }
