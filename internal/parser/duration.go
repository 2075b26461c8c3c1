package parser

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is written in settings as a string, as in
// "1.5s" or "200ms".
type Duration struct {
	time.Duration
}

// MarshalJSON returns the duration as a JSON string; the error is always nil.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON parses the duration from a JSON string. Errors are
// *InvalidDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &InvalidDuration{
			Text: string(data),
		}
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return &InvalidDuration{
			Text: text,
		}
	}
	d.Duration = value
	return nil
}

// InvalidDuration reports text that is not a duration.
type InvalidDuration struct {
	// Text is the rejected text.
	Text string
}

// Error implements error.
func (e *InvalidDuration) Error() string {
	return "invalid duration " + e.Text + `; expected a string such as "1.5s"`
}
