package inspector

import "github.com/buckthorngap/buckthorngap/pkg/configurator"

// Classes of findings.
const (
	// ClassRefused is a record for which the running program refuses the configuration.
	ClassRefused = "refused"
	// ClassUnused is a record that can never take effect.
	ClassUnused = "unused"
	// ClassContradiction is a value that contradicts another one.
	ClassContradiction = "contradiction"
)

// Finding is one mistake in a configuration.
type Finding struct {
	// Class is one of the classes.
	Class string `json:"class"`
	// Kind is the kind of the record.
	Kind configurator.Kind `json:"kind,omitempty"`
	// Name is the record's name as shown to operators.
	Name string `json:"name,omitempty"`
	// Field is the name of the field; empty if the record as a whole is meant.
	Field string `json:"field,omitempty"`
	// Text describes the mistake.
	Text string `json:"text"`
}

// String returns the finding as a line for operators.
func (f Finding) String() string {
	line := f.Class + ": "
	if f.Kind != "" {
		line += string(f.Kind) + " " + f.Name + ": "
	}
	if f.Field != "" {
		line += f.Field + ": "
	}
	return line + f.Text
}
