package operator

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// TestRecordsSurviveTheirMessages compares records of all kinds with what is
// left of them after a message. Each field of each has a value, so that one
// that the message forgets is found.
func TestRecordsSurviveTheirMessages(t *testing.T) {
	is := is.New(t)
	for _, operation := range []configurator.Operation{
		{
			Team: filled[configurator.Team](t),
		},
		{
			Model: filled[configurator.Model](t),
		},
		{
			Service: filled[configurator.Service](t),
		},
		{
			Route: filled[configurator.Route](t),
		},
		{
			Upstream: filled[configurator.Upstream](t),
		},
	} {
		is.Equal(readRecord(recordMessage(operation)), operation)
	}
}

// filled is a record whose fields are all set.
func filled[T any](t *testing.T) *T {
	t.Helper()
	record := new(T)
	fill(t, reflect.ValueOf(record).Elem())
	return record
}

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
		t.Fatal("no value for", value.Type())
	}
}
