// Package measurer runs the measurements of the product sequentially and writes
// their results to a Markdown page, next to those of the previous run.
package measurer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// Measurer parses the command line, runs measurements and writes the page.
type Measurer struct {
	invocation invoker.Invocation
	app        *kingpin.Application
	short      *bool
	page       *string
	only       *[]string
}

// dateFormat is the format of a run's time, to the minute.
const dateFormat = "2006-01-02T15:04Z07:00"

// New returns a Measurer with all measurements.
func New(invocation invoker.Invocation) *Measurer {
	m := &Measurer{
		invocation: invocation,
		app:        kingpin.New("measure", "Runs the measurements and writes docs/MEASURES.md."),
	}
	m.short = m.app.Flag("short", "Run fewer and shorter measurements, in under 50 seconds.").Bool()
	m.page = m.app.Flag("page", "File of the page; if empty, no page is written.").Default("docs/MEASURES.md").String()
	m.only = m.app.Flag("only", "Run only this measurement; may be repeated.").Strings()
	return m
}

// Run runs the measurements and returns the exit code.
func (m *Measurer) Run() int {
	return invoker.New(invoker.Config{
		Invocation:  m.invocation,
		Application: m.app,
		Commands: map[string]invoker.Command{
			"": m.measure,
		},
		Label: "measure: ",
	}).Run()
}

func (m *Measurer) measure(ctx context.Context) error {
	page, err := readPage(*m.page)
	if err != nil {
		return err
	}
	began := time.Now()
	for _, candidate := range measurements() {
		if !m.selected(candidate) {
			continue
		}
		if err := m.measurePart(ctx, page, candidate); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(m.invocation.Output, "part=all seconds=%.1f\n", time.Since(began).Seconds())
	return nil
}

// measurePart runs one measurement and writes the page at once, so that an
// interrupted run keeps the results of the parts that it completed.
func (m *Measurer) measurePart(ctx context.Context, page *page, target measurement) error {
	var lines bytes.Buffer
	began, machineInfo := time.Now(), machine()
	if err := target.run(ctx, io.MultiWriter(&lines, m.invocation.Output), m.runsShort(target)); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	_, _ = fmt.Fprintf(m.invocation.Output, "part=%s seconds=%.1f\n", target.name, seconds)
	page.addRun(target.name, target.title, record{
		command: fmt.Sprintf("date=%s %s seconds=%.1f command=%q",
			began.UTC().Format(dateFormat), machineInfo, seconds, m.command()),
		lines: lines.String(),
	})
	page.sortParts(measurementNames())
	if *m.page == "" {
		return nil
	}
	return page.write(*m.page)
}

// selected reports whether the command line selects a measurement.
func (m *Measurer) selected(candidate measurement) bool {
	if len(*m.only) > 0 {
		return slices.Contains(*m.only, candidate.name)
	}
	return candidate.inShortRun || !*m.short && !candidate.onlyIfNamed
}

// runsShort reports whether a measurement runs in its short form.
func (m *Measurer) runsShort(candidate measurement) bool {
	return *m.short || candidate.shortByDefault && len(*m.only) == 0
}

// command returns the command line that repeats the run.
func (m *Measurer) command() string {
	words := []string{"scripts/measure"}
	if *m.short {
		words = append(words, "--short")
	}
	for _, name := range *m.only {
		words = append(words, "--only", name)
	}
	return strings.Join(words, " ")
}
