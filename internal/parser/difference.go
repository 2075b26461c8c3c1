package parser

import (
	"reflect"
	"strings"
)

// Difference returns the names, as in the file, of the top-level settings that
// differ between s and other.
func (s Settings) Difference(other Settings) []string {
	var names []string
	values, otherValues := reflect.ValueOf(s), reflect.ValueOf(other)
	for i := range values.NumField() {
		if !reflect.DeepEqual(values.Field(i).Interface(), otherValues.Field(i).Interface()) {
			name, _, _ := strings.Cut(values.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
