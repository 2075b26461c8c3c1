package parser

import (
	"bytes"
	"os"
	"reflect"

	"github.com/tailscale/hujson"
)

// Load reads and validates a settings file. It returns *Unreadable if the file
// cannot be read, and InvalidList if any setting is invalid.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Unreadable{
			File:  file,
			Cause: err,
		}
	}
	return Parse(file, data)
}

// Parse parses and validates settings. The file name is used only in errors. It
// returns InvalidList if any setting is invalid.
func Parse(file string, data []byte) (Settings, error) {
	settings := Default()
	root, err := hujson.Parse(data)
	if err != nil {
		return settings, InvalidList{
			{
				File:    file,
				Problem: err.Error(),
			},
		}
	}
	decoder := &decoder{
		file:  file,
		data:  data,
		lines: map[string]int{},
	}
	decoder.decode("", root, reflect.ValueOf(&settings).Elem())
	if len(decoder.invalid) > 0 {
		return settings, decoder.invalid
	}
	for _, violation := range check(settings) {
		decoder.report(violation.field, decoder.lines[violation.field], violation.problem)
	}
	if len(decoder.invalid) > 0 {
		return settings, decoder.invalid
	}
	return settings, nil
}

// lineAt returns the line of an offset in data, counted from 1.
func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
}
