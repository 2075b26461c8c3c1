package configurator_test

import (
	"encoding/json"
	"testing"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// FuzzAssemble passes arbitrary heads and documents to Assemble. A snapshot that
// it returns must have the digests that the head names.
func FuzzAssemble(f *testing.F) {
	s := smallSnapshot(f)
	head, err := s.Head().Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range []string{"team.00", "version.00", "adapter.3f", "x.00", "team", ""} {
		content, _ := s.Encode(name)
		f.Add(head, name, content)
	}
	f.Add([]byte(`{"revision":1}`), "team.00", []byte(`[{"name":"b"},{"name":"a"}]`))
	f.Fuzz(func(t *testing.T, head []byte, name string, content []byte) {
		decoded, err := configurator.DecodeHead(head)
		if err != nil {
			return
		}
		assembled, err := configurator.Empty().Assemble(decoded, map[string][]byte{
			name: content,
		})
		if err != nil {
			return
		}
		if len(assembled.Differing(decoded)) != 0 {
			t.Fatal("assembled a snapshot that differs from its head")
		}
	})
}

// FuzzApply passes arbitrary changes to Apply. A change that succeeds must give
// the same digest when it is applied again and when the snapshot is assembled
// from its documents.
func FuzzApply(f *testing.F) {
	for _, operation := range []configurator.Operation{
		team("boots"), batch("b2"), model("m2"), version("m1", "v2", "b1"), adapter("a2", "m1", ""),
		key("k2", "crates", "s2", ""), service("s2", "/s2/"), upstream("e2"),
	} {
		encoded, err := json.Marshal(change("next", operation))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte(`{"id":"x","operations":[{"action":"remove","model":{"name":"m1"}}]}`))
	f.Add([]byte(`{"id":"x","operations":[{"action":"put","team":{"name":"é\u0000","rate":-0}}]}`))
	base := smallSnapshot(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded configurator.Change
		if json.Unmarshal(data, &decoded) != nil {
			return
		}
		first, err := base.Apply(decoded)
		if err != nil {
			return
		}
		second, err := base.Apply(decoded)
		if err != nil || first.Digest() != second.Digest() {
			t.Fatal("applying the change twice gives different digests")
		}
		contents := map[string][]byte{}
		for _, document := range first.Documents() {
			content, err := first.Encode(document.Name)
			if err != nil {
				t.Fatal(err)
			}
			contents[document.Name] = content
		}
		assembled, err := configurator.Empty().Assemble(first.Head(), contents)
		if err != nil || assembled.Digest() != first.Digest() {
			t.Fatalf("the snapshot assembled from the documents differs: %v", err)
		}
	})
}
