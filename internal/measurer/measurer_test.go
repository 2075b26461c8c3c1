package measurer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// selection returns the names of the measurements that a command line selects,
// and of those that run in their short form.
func selection(t *testing.T, arguments ...string) (wanted, brief []string) {
	t.Helper()
	is := is.New(t)
	m := New(invoker.Invocation{})
	_, err := m.app.Parse(arguments)
	is.NoErr(err)
	for _, candidate := range measurements() {
		if m.selected(candidate) {
			wanted = append(wanted, candidate.name)
			if m.runsShort(candidate) {
				brief = append(brief, candidate.name)
			}
		}
	}
	return wanted, brief
}

func TestShortRunHasTheFourMeasures(t *testing.T) {
	is := is.New(t)
	wanted, brief := selection(t, "--short")
	is.Equal(wanted, []string{"coldstart", "sharing", "admitting"})
	is.Equal(brief, wanted)
}

func TestWholeRunLeavesOutWhatTakesLong(t *testing.T) {
	is := is.New(t)
	wanted, brief := selection(t)
	is.Equal(wanted, []string{
		"coldstart", "sharing", "operating", "admitting", "spreading", "membership", "placement", "prewarming",
		"worstseeds", "moving",
	})
	is.Equal(brief, []string{"prewarming", "worstseeds"})
}

func TestPartsThatAreAskedForRunWhole(t *testing.T) {
	is := is.New(t)
	wanted, brief := selection(t, "--only", "duties", "--only", "prewarming")
	is.Equal(wanted, []string{"duties", "prewarming"})
	is.Equal(len(brief), 0)
}
