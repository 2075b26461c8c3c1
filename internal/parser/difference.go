package parser

import (
	"reflect"
	"strings"
)

// Difference names the groups of settings in which two settings differ, by
// their names in the file.
func (s Settings) Difference(other Settings) []string {
	var names []string
	own, others := reflect.ValueOf(s), reflect.ValueOf(other)
	for i := range own.NumField() {
		if !reflect.DeepEqual(own.Field(i).Interface(), others.Field(i).Interface()) {
			name, _, _ := strings.Cut(own.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
