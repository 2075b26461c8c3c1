package commander

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
)

// createdKey is the printed result of creating a key. Its field names are part of the output.
type createdKey struct {
	Secret string
	spreader.Receipt
}

// print writes one result, either as a line of key=value pairs or as JSON, depending on --output.
func (c *Commander) print(result any) error {
	if *c.connection.output == outputJSON {
		return json.NewEncoder(c.invocation.Output).Encode(result)
	}
	_, err := fmt.Fprintln(c.invocation.Output, formatFields(reflect.ValueOf(result)))
	return err
}

// printAll prints the results with indexes 0 to count-1, one a line.
func (c *Commander) printAll(count int, result func(int) any) error {
	for i := range count {
		if err := c.print(result(i)); err != nil {
			return err
		}
	}
	return nil
}

// printRecord prints a listed record: the only pointer field of its operation that is not nil, and whether it is withdrawn.
func (c *Commander) printRecord(record operator.Record) error {
	value := reflect.ValueOf(record.Operation)
	for i := range value.NumField() {
		field := value.Field(i)
		if field.Kind() != reflect.Pointer || field.IsNil() {
			continue
		}
		if *c.connection.output == outputJSON {
			return json.NewEncoder(c.invocation.Output).Encode(listedRecord{
				Record:    field.Interface(),
				Withdrawn: record.Withdrawn,
			})
		}
		_, err := fmt.Fprintf(c.invocation.Output, "%s withdrawn=%t\n", formatFields(field.Elem()), record.Withdrawn)
		return err
	}
	return nil
}

// listedRecord is the JSON form of a listed record.
type listedRecord struct {
	Record    any  `json:"record"`
	Withdrawn bool `json:"withdrawn"`
}

// formatFields formats the fields of a struct, including those of embedded structs, as key=value pairs. The keys are the
// field names in lower case.
func formatFields(value reflect.Value) string {
	var words []string
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Anonymous {
			words = append(words, formatFields(value.Field(i)))
			continue
		}
		words = append(words, strings.ToLower(field.Name)+"="+formatValue(value.Field(i).Interface()))
	}
	return strings.Join(words, " ")
}

// formatValue formats a value as one word; it is quoted if it contains a space, a quote, a newline or an equals sign.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if list, ok := value.([]string); ok {
		text = strings.Join(list, ",")
	}
	if strings.ContainsAny(text, " \"\n=") {
		return fmt.Sprintf("%q", text)
	}
	return text
}
