package operator

import "github.com/buckthorngap/buckthorngap/pkg/configurator"

// Record is one listed record of the configuration. Of the embedded Operation only the record itself is set.
type Record struct {
	configurator.Operation
	// Withdrawn is set if the record or its batch was withdrawn.
	Withdrawn bool
}
