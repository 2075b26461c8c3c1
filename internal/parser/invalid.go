package parser

import (
	"fmt"
	"strings"
)

// Invalid reports one invalid setting, or a file that cannot be parsed.
type Invalid struct {
	// File is the settings file.
	File string
	// Line is the line of the field, counted from 1; zero if the file does not set it.
	Line int
	// Field is the path of the field, as in "callers.listen"; empty for the full file.
	Field string
	// Problem describes what is wrong.
	Problem string
}

// Error implements error.
func (e *Invalid) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return position + ": " + e.Problem
	}
	return position + ": " + e.Field + ": " + e.Problem
}

// InvalidList reports every invalid setting of a file.
type InvalidList []*Invalid

// Error implements error.
func (l InvalidList) Error() string {
	lines := make([]string, 0, len(l))
	for _, invalid := range l {
		lines = append(lines, invalid.Error())
	}
	return strings.Join(lines, "\n")
}

// Unreadable reports that a settings file could not be read.
type Unreadable struct {
	// File is the settings file.
	File string
	// Cause is the file system's error.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string { return "cannot read settings: " + e.Cause.Error() }

// Unwrap returns the file system's error.
func (e *Unreadable) Unwrap() error { return e.Cause }
