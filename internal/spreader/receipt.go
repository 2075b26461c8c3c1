package spreader

// Receipt reports on how many instances an act or a withdrawal is in force, and whether the store
// has it.
type Receipt struct {
	// ID is the identity of the act, or the identity under which a withdrawal is logged.
	ID string
	// Revision is the revision that the act created, or the one to which a withdrawal was
	// added.
	Revision uint64
	// InForce is the number of instances where it is in force.
	InForce int
	// Members is the number of instances that are not known to be dead.
	Members int
	// Missing are the names of the instances where it may not be in force yet.
	Missing []string
	// Durable is set once the platform's store has it.
	Durable bool
	// Repeated is set if the act had already been carried out.
	Repeated bool
}
