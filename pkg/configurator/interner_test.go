package configurator

import (
	"testing"
	"unsafe"

	"github.com/matryer/is"
)

// TestDecodedShardSharesEqualStringsAndLists checks that equal strings and lists of a
// decoded shard share memory, and that lists with the same map key but different
// elements are kept apart.
func TestDecodedShardSharesEqualStringsAndLists(t *testing.T) {
	is := is.New(t)
	data := []byte(`[
		{"name":"a1","model":"ledger","teams":["crates","depots"],"bytes":1,"batch":"may"},
		{"name":"a2","model":"ledger","teams":["crates","depots"],"bytes":2,"batch":"may"},
		{"name":"a3","model":"router","teams":["crates\ndepots"],"bytes":3}
	]`)
	decoded, err := decodeShard[Adapter]("adapter.00", data, 0, 1)
	is.NoErr(err)
	first, second, third := decoded.records[0], decoded.records[1], decoded.records[2]
	is.Equal(unsafe.StringData(first.Model), unsafe.StringData(second.Model))
	is.Equal(unsafe.StringData(first.Batch), unsafe.StringData(second.Batch))
	is.Equal(unsafe.SliceData(first.Teams), unsafe.SliceData(second.Teams))
	is.Equal(first.Teams, []string{"crates", "depots"})
	is.Equal(third.Model, "router")
	is.Equal(third.Teams, []string{"crates\ndepots"})
	is.Equal(third.Batch, "")
	is.Equal(cap(decoded.records), len(decoded.records))
}
