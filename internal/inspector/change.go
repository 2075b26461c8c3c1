package inspector

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// What happens to a record.
const (
	verbAdded   = "added"
	verbRemoved = "removed"
	verbChanged = "changed"
)

// durations are the fields of records that hold a time, in nanoseconds.
var durations = []string{"timeout", "objective", "gap", "patience", "load", "diskload", "memoryload"}

// Change is one record that differs from the configuration in force.
type Change struct {
	// Kind is the kind of the record.
	Kind configurator.Kind `json:"kind"`
	// Name is the record's name as shown to operators.
	Name string `json:"name"`
	// Verb is "added", "removed" or "changed".
	Verb string `json:"verb"`
	// Fields describes each changed field of a changed record.
	Fields []string `json:"fields,omitempty"`
}

// newChange describes a difference; fieldName gives the document's name of a field.
func newChange(difference configurator.Difference, fieldName func(string) string) Change {
	change := Change{
		Kind: difference.Kind,
		Name: difference.Name,
		Verb: verbChanged,
	}
	switch {
	case difference.Before == "":
		change.Verb = verbAdded
	case difference.After == "":
		change.Verb = verbRemoved
	default:
		change.Fields = changedFields(fieldsOf(difference.Before), fieldsOf(difference.After), fieldName)
	}
	return change
}

// fieldsOf returns the fields of a record that the configurator encoded.
func fieldsOf(record string) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal([]byte(record), &fields)
	return fields
}

func changedFields(before, after map[string]json.RawMessage, fieldName func(string) string) []string {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, current := shown(name, before[name]), shown(name, after[name])
		if old != current {
			changes = append(changes, fieldName(name)+" from "+old+" to "+current)
		}
	}
	return changes
}

// shown returns a field's value as operators read it. A record omits fields that are not set.
func shown(name string, value json.RawMessage) string {
	if value == nil {
		return "unset"
	}
	var nanoseconds int64
	if slices.Contains(durations, name) && json.Unmarshal(value, &nanoseconds) == nil {
		return time.Duration(nanoseconds).String()
	}
	return string(value)
}

// maxListed is the number of records of a kind that are listed by name if all are added or removed.
const maxListed = 5

// describeChanges returns the changes as lines for operators. Many records that are added or removed are counted.
func describeChanges(changes []Change) []string {
	var lines []string
	for len(changes) > 0 {
		first, count := changes[0], 1
		for count < len(changes) && first.Verb != verbChanged && changes[count].Kind == first.Kind && changes[count].Verb == first.Verb {
			count++
		}
		if count > maxListed {
			lines = append(lines, fmt.Sprintf("%s: %s %s and %d more", first.Verb, first.Kind, first.Name, count-1))
			changes = changes[count:]
			continue
		}
		line := fmt.Sprintf("%s: %s %s", first.Verb, first.Kind, first.Name)
		if len(first.Fields) > 0 {
			line += ": " + strings.Join(first.Fields, ", ")
		}
		lines = append(lines, line)
		changes = changes[1:]
	}
	return lines
}
