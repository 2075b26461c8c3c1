package stager

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

func TestDumpShowsOrderedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		is.NoErr(f.adapter("a1"))
		is.NoErr(f.adapter("a0"))
		state, ok := f.Dump().(State)
		is.True(ok)
		is.Equal(len(state.Duties), 1)
		is.Equal(len(state.Engines), 1)
		engine := state.Engines[0]
		is.Equal(engine.Name, "e")
		is.Equal(engine.Sequence, uint64(2))
		is.Equal(engine.Changes, 2)
		is.Equal(engine.Held["m0"], []string{"m0/a0", "m0/a1"})
		is.True(!engine.Doubt)
	})
}
