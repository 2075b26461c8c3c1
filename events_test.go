package main

import (
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	// eventPattern matches a call that logs an event, and captures the event's name.
	eventPattern     = regexp.MustCompile(`\.(?:Info|Warn|Error|event)\("([^"]*)"[,)]`)
	eventNamePattern = regexp.MustCompile(`^[a-z]+(\.[a-z]+)?$`)
)

// TestOperationsListsEveryEvent checks that the table of docs/OPERATIONS.md lists exactly the events that the code logs.
func TestOperationsListsEveryEvent(t *testing.T) {
	_, section, found := strings.Cut(readFile(t, "docs/OPERATIONS.md"), "## Events in the log")
	is.New(t).True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[string]bool{}
	for _, row := range strings.Split(section, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 3 {
			continue
		}
		for _, match := range codePattern.FindAllStringSubmatch(cells[1], -1) {
			listed[match[1]] = true
		}
	}
	logged := map[string]bool{}
	for path := range readRepository(t).files {
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "internal/emulator") {
			continue
		}
		for _, match := range eventPattern.FindAllStringSubmatch(readFile(t, path), -1) {
			logged[match[1]] = true
			if !eventNamePattern.MatchString(match[1]) {
				t.Errorf("%s: event %q must be one word, or two words separated by a dot", path, match[1])
			}
			if !listed[match[1]] {
				t.Errorf("%s: event %q is not in docs/OPERATIONS.md", path, match[1])
			}
		}
	}
	for name := range listed {
		if !logged[name] {
			t.Errorf("docs/OPERATIONS.md lists event %q, which the code does not log", name)
		}
	}
	is.New(t).True(len(logged) > 0)
}
