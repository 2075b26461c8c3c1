package configurator_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

func TestVersionByCheckpointFindsVersionsOfItsSnapshot(t *testing.T) {
	is := is.New(t)
	first := smallSnapshot(t)
	match, ok := first.VersionByCheckpoint("m1@v1")
	is.True(ok)
	is.Equal(match.Name, "v1")

	second := apply(t, first, change("more", version("m1", "v2", "b1")))
	_, ok = first.VersionByCheckpoint("m1@v2")
	is.True(!ok) // a snapshot never changes
	match, ok = second.VersionByCheckpoint("m1@v2")
	is.True(ok)
	is.Equal(match.Name, "v2")

	contents := map[string][]byte{}
	for _, document := range second.Documents() {
		content, err := second.Encode(document.Name)
		is.NoErr(err)
		contents[document.Name] = content
	}
	assembled, err := configurator.Empty().Assemble(second.Head(), contents)
	is.NoErr(err)
	_, ok = assembled.VersionByCheckpoint("m1@v2")
	is.True(ok)
	_, ok = assembled.VersionByCheckpoint("m1@v3")
	is.True(!ok)
}
