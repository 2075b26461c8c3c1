// Package inspector checks a configuration before it is sent: it finds what the running program would refuse, records
// that can never take effect and limits that contradict each other, and lists what differs from another configuration.
package inspector

import (
	"errors"
	"sort"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Config configures an Inspector.
type Config struct {
	// Decode reads a document. It is the function that the running program uses.
	Decode func(document []byte) (configurator.Archive, error)
	// StatesAttempts is set if routes always state their attempts, so that zero is a mistake and not the default.
	StatesAttempts bool
	// Fields maps the configurator's names of fields to those of the document, if they differ; may be nil.
	Fields map[string]string
}

// Inspector checks configurations.
type Inspector struct {
	config Config
}

// New returns an Inspector.
func New(config Config) *Inspector {
	return &Inspector{
		config: config,
	}
}

// Inspect returns what is wrong with a document. Errors are *Unreadable.
func (i *Inspector) Inspect(document []byte) ([]Finding, error) {
	archive, err := i.decode(document)
	if err != nil {
		return nil, err
	}
	c := &checker{
		archive:        archive,
		statesAttempts: i.config.StatesAttempts,
	}
	if _, err := archive.Snapshot(); err != nil {
		c.findings = append(c.findings, refusal(archive, err))
	}
	c.checkRepetitions()
	c.checkUse()
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	for index := range c.findings {
		c.findings[index].Field = i.fieldName(c.findings[index].Field)
	}
	return c.findings, nil
}

// Compare returns how the second document differs from the first, which is in force. Without a second document that
// the running program accepts there is nothing to compare. Errors are *Unreadable.
func (i *Inspector) Compare(inForce, document []byte) ([]Change, error) {
	archive, err := i.decode(inForce)
	if err != nil {
		return nil, err
	}
	before, err := archive.Snapshot()
	if err != nil {
		return nil, newUnreadable(inForce, err)
	}
	if archive, err = i.decode(document); err != nil {
		return nil, err
	}
	after, err := archive.Snapshot()
	if err != nil {
		return nil, nil
	}
	var changes []Change
	for _, difference := range configurator.Diff(before, after) {
		changes = append(changes, newChange(difference, i.fieldName))
	}
	return changes, nil
}

// fieldName returns the document's name of a field.
func (i *Inspector) fieldName(field string) string {
	if name, ok := i.config.Fields[field]; ok {
		return name
	}
	return field
}

func (i *Inspector) decode(document []byte) (configurator.Archive, error) {
	archive, err := i.config.Decode(document)
	if err != nil {
		return configurator.Archive{}, newUnreadable(document, err)
	}
	return archive, nil
}

// refusal returns the finding on the first record that the running program refuses, for which it refuses the whole
// configuration.
func refusal(archive configurator.Archive, cause error) Finding {
	operations := archive.Operations()
	count := sort.Search(len(operations), func(last int) bool {
		_, err := configurator.Empty().Apply(configurator.Change{
			ID:         "inspection",
			Operations: operations[:last+1],
		})
		return err != nil
	})
	finding := Finding{
		Class: ClassRefused,
		Text:  cause.Error(),
	}
	if count < len(operations) {
		finding.Kind = operations[count].Kind()
		finding.Name = operations[count].Name()
	}
	var invalid *configurator.Invalid
	if errors.As(cause, &invalid) {
		finding.Field, finding.Text = invalid.Field, invalid.Reason
	}
	return finding
}
