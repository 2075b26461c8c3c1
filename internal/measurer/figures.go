package measurer

import "strings"

// figures holds the key=value pairs of one result line.
type figures map[string]string

// parseFigures parses a result line; words without an equals sign are skipped.
func parseFigures(line string) figures {
	pairs := figures{}
	for word := range strings.FieldsSeq(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			pairs[key] = value
		}
	}
	return pairs
}

// has reports whether all keys are present.
func (f figures) has(keys ...string) bool {
	for _, key := range keys {
		if _, ok := f[key]; !ok {
			return false
		}
	}
	return true
}
