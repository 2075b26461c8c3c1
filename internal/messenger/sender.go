package messenger

// Sender is the authenticated origin of a message.
type Sender struct {
	// Name is the instance's name from its certificate.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Incarnation is the instance's start counter, which grows with each start.
	Incarnation uint64
}
