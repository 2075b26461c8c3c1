package operator

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// TestRecordProtoRoundTrip converts records to protobuf and back. Every field is set to a non-zero value, so that
// a field missing from either conversion makes the comparison fail.
func TestRecordProtoRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, operation := range []configurator.Operation{
		{
			Team: newFilled[configurator.Team](t),
		},
		{
			Model: newFilled[configurator.Model](t),
		},
		{
			Service: newFilled[configurator.Service](t),
		},
		{
			Route: newFilled[configurator.Route](t),
		},
		{
			Upstream: newFilled[configurator.Upstream](t),
		},
	} {
		is.Equal(recordFromProto(recordToProto(operation)), operation)
	}
}

// newFilled returns a record with every field set to a non-zero value.
func newFilled[T any](t *testing.T) *T {
	t.Helper()
	record := new(T)
	fill(t, reflect.ValueOf(record).Elem())
	return record
}

// fill recursively sets every field of the value to a non-zero value of its type.
func fill(t *testing.T, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fill(t, value.Field(i))
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(t, value.Index(0))
	case reflect.String:
		value.SetString("text")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(1.5)
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(3 * time.Second))
		if value.Kind() == reflect.Int {
			value.SetInt(7)
		}
	default:
		t.Fatal("no test value for type", value.Type())
	}
}
