package admissionmeter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// TestMeasure checks in fake time that the product meets its targets under
// faults: no overspending, under 0.1 % of requests inside the rate refused, and
// each team served at least 0.95 of its fair share.
func TestMeasure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		results := Measure(context.Background(), Span{
			Warm:     warmUpTime,
			Measured: targetTestTime,
		}, true)
		for _, mode := range modes() {
			for _, r := range results[mode] {
				t.Logf("%s %+v", mode, r)
			}
			t.Logf("%+v", Summarize(mode, results[mode]))
		}
		loans := Summarize(parser.LimitLoans, results[parser.LimitLoans])
		is.True(loans.Over <= 1e-6)
		is.True(loans.RefusedFraction < 0.001)
		is.True(loans.WorstServed >= 0.95)
		// Lets the goroutines of all sites end, since fake time stops when this function returns.
		time.Sleep(10 * time.Minute)
	})
}
