package seeder_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/verifier/seeder"
)

// TestSeedsStartAtVariable checks that seeds start at 0 unless Variable is set.
func TestSeedsStartAtVariable(t *testing.T) {
	is := is.New(t)
	t.Setenv(seeder.Variable, "")
	is.Equal(slices.Collect(seeder.Seeds(3)), []int{0, 1, 2})
	t.Setenv(seeder.Variable, "400")
	is.Equal(slices.Collect(seeder.Seeds(2)), []int{400, 401})
}
