package limiter

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// TestRestoredTableLacksLoans lets an instance spend loans of a former era, of which the table in the copy knows nothing and
// which were not reported to the new holder.
func TestRestoredTableLacksLoans(t *testing.T) {
	script := spendUnreportedLoans(func(f *fleet) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.entries = map[string]storer.Entry{}
		f.epoch = 1 << 24 // the first era after the restoration
	})
	muted := func(f *fleet) {
		f.mutedListed = true
		script(f)
	}
	is := is.New(t)
	is.True(scenario(t, nil, 1500, 3000, muted) <= tolerance)
	is.True(scenario(t, func(l *Limiter) { l.ignoreRestored = true }, 1500, 3000, muted) > 100)
}
