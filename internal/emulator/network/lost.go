package network

// Lost reports that the network did not deliver a message.
type Lost struct{}

// Error implements error.
func (e *Lost) Error() string { return "message lost" }
