package spreadmeter_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/measurer/spreadmeter"
)

func TestRunWritesEveryMeasurement(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	err := spreadmeter.Run(t.Context(), spreadmeter.Config{
		Acts:     5,
		Idle:     10 * time.Millisecond,
		Adapters: 1600,
	}, &out)
	is.NoErr(err)
	is.Equal(strings.Count(out.String(), "measure=instances"), 8)
	is.Equal(strings.Count(out.String(), "inforce=1.0000"), 8)
	is.Equal(strings.Count(out.String(), "measure=adapters"), 4)
	is.Equal(strings.Count(out.String(), "measure=calls"), 1)
}

// BenchmarkRun writes the figures for docs/CAPACITY.md: go test -run NONE -bench Run$ -benchtime 1x.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		if err := spreadmeter.Run(b.Context(), spreadmeter.Config{}, os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
