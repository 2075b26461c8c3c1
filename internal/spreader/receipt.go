package spreader

// Receipt tells what an act reached.
type Receipt struct {
	// ID is the identity of the act, or that of a withdrawal in the log.
	ID string
	// Revision is the revision that the act made, or the one that a withdrawal
	// was added to.
	Revision uint64
	// InForce is the number of instances where it is in force.
	InForce int
	// Members is the number of instances that are not known to be dead.
	Members int
	// Missing are the names of instances where it may not be in force yet.
	Missing []string
	// Durable is set once the platform's store has it.
	Durable bool
	// Repeated is set if the act had been carried out before.
	Repeated bool
}
