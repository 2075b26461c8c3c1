package measurer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// selection returns the names of the measurements that a command line selects,
// and of those among them that run in their short form.
func selection(t *testing.T, arguments ...string) (selected, short []string) {
	t.Helper()
	is := is.New(t)
	m := New(invoker.Invocation{})
	_, err := m.app.Parse(arguments)
	is.NoErr(err)
	for _, candidate := range measurements() {
		if m.selected(candidate) {
			selected = append(selected, candidate.name)
			if m.runsShort(candidate) {
				short = append(short, candidate.name)
			}
		}
	}
	return selected, short
}

func TestShortRunHasTheFourMeasures(t *testing.T) {
	is := is.New(t)
	selected, short := selection(t, "--short")
	is.Equal(selected, []string{"coldstart", "sharing", "admitting"})
	is.Equal(short, selected)
}

func TestFullRunOmitsOrShortensLongMeasurements(t *testing.T) {
	is := is.New(t)
	selected, short := selection(t)
	is.Equal(selected, []string{
		"coldstart", "sharing", "operating", "admitting", "spreading", "membership", "placement", "prewarming",
		"worstseeds", "moving",
	})
	is.Equal(short, []string{"prewarming", "worstseeds"})
}

func TestNamedMeasurementsRunInFull(t *testing.T) {
	is := is.New(t)
	selected, short := selection(t, "--only", "duties", "--only", "prewarming")
	is.Equal(selected, []string{"duties", "prewarming"})
	is.Equal(len(short), 0)
}
