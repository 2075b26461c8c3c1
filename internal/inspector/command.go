package inspector

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Command is the check as a command of a program.
type Command struct {
	inspector *Inspector
	output    io.Writer
	file      *string
	against   *string
	json      *bool
}

// NewCommand adds the argument and flags to a command, and returns what runs it.
func NewCommand(clause *kingpin.CmdClause, inspector *Inspector, output io.Writer) *Command {
	return &Command{
		inspector: inspector,
		output:    output,
		file:      clause.Arg("file", "Configuration to check.").String(),
		against:   clause.Flag("against", "Configuration in force, to list what differs.").String(),
		json:      clause.Flag("json", "Print findings and changes as JSON.").Bool(),
	}
}

// Run checks the file and prints what it found. Errors are *Found, *Unreadable and those of the output.
func (c *Command) Run(context.Context) error {
	report, err := c.inspect()
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return &Found{
			Count: len(report.Findings),
		}
	}
	return nil
}

// File returns the argument, empty if there is none.
func (c *Command) File() string { return *c.file }

func (c *Command) inspect() (Report, error) {
	report := Report{
		Findings: []Finding{},
		Changes:  []Change{},
	}
	document, err := read(*c.file)
	if err != nil {
		return report, err
	}
	findings, err := c.inspector.Inspect(document)
	if err != nil {
		return report, err
	}
	report.Findings = append(report.Findings, findings...)
	if *c.against == "" {
		return report, nil
	}
	inForce, err := read(*c.against)
	if err != nil {
		return report, err
	}
	changes, err := c.inspector.Compare(inForce, document)
	report.Changes = append(report.Changes, changes...)
	return report, err
}

func (c *Command) print(report Report) error {
	if *c.json {
		return json.NewEncoder(c.output).Encode(report)
	}
	for _, finding := range report.Findings {
		if _, err := fmt.Fprintln(c.output, finding); err != nil {
			return err
		}
	}
	for _, line := range describeChanges(report.Changes) {
		if _, err := fmt.Fprintln(c.output, line); err != nil {
			return err
		}
	}
	return nil
}

func read(path string) ([]byte, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, newUnreadable(nil, err)
	}
	return document, nil
}
