package inspector

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// Exit codes of the check. A configuration without findings gives invoker.ExitDone.
const (
	// ExitFound means that there are findings.
	ExitFound = 1
	// ExitUnreadable means that a document could not be read.
	ExitUnreadable = 2
)

// Found reports that there are findings.
type Found struct {
	// Count is the number of findings.
	Count int
}

// Error implements error.
func (e *Found) Error() string { return "findings: " + strconv.Itoa(e.Count) }

// ExitCode returns the program's exit code.
func (e *Found) ExitCode() int { return ExitFound }

// Unreadable reports a document that is no configuration.
type Unreadable struct {
	// Line is the number of the line, from 1; zero if it is not known.
	Line int
	// Column is the number of the byte in the line, from 1.
	Column int
	// Field is the path of the field; may be empty.
	Field string
	// Cause is the error of the decoder or of the file.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string {
	if e.Line == 0 {
		return e.Cause.Error()
	}
	place := fmt.Sprintf("line %d, byte %d: ", e.Line, e.Column)
	if e.Field != "" {
		place += e.Field + ": "
	}
	return place + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unreadable) Unwrap() error { return e.Cause }

// ExitCode returns the program's exit code.
func (e *Unreadable) ExitCode() int { return ExitUnreadable }

// newUnreadable adds the place in the document if the decoder's error states it.
func newUnreadable(document []byte, cause error) error {
	e := &Unreadable{
		Cause: cause,
	}
	offset := int64(0)
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(cause, &syntax):
		offset = syntax.Offset
	case errors.As(cause, &mistyped):
		offset, e.Field = mistyped.Offset, mistyped.Field
	default:
		return e
	}
	before := document[:min(max(0, offset), int64(len(document)))]
	e.Line = bytes.Count(before, []byte("\n")) + 1
	e.Column = max(1, len(before)-bytes.LastIndexByte(before, '\n')-1)
	return e
}
