package storer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// ExampleRevision shows that revisions of a later era follow all earlier ones.
func ExampleRevision() {
	lost, restored := storer.NewRevision(0, 121), storer.NewRevision(1, 106)
	fmt.Println(lost, restored, lost < restored)
	// Output: 121 1/106 true
}

// TestRevisionKeepsEraAndNumber guards against an era or a number that is cut off.
func TestRevisionKeepsEraAndNumber(t *testing.T) {
	is := is.New(t)
	r := storer.NewRevision(storer.MaxEra, 1<<48-1)
	is.Equal(r.Era(), uint64(storer.MaxEra))
	is.Equal(r.Number(), uint64(1<<48-1))
	is.Equal(storer.NewRevision(7, 0), storer.Revision(0)) // absent in every era
}
