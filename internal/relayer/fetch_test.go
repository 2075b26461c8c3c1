package relayer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/relayer/relayerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// newRelayerWithAnswer returns the relayer of one of five instances, whose readers answer with the
// given bytes, and counts its requests to them.
func newRelayerWithAnswer(answer []byte, requests *int) *Relayer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{
		Self: "self",
		Peers: func() []messenger.Peer {
			return []messenger.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
		},
		Cores: func(instance string) float64 {
			if instance == "self" {
				return 0.1
			}
			return 1
		},
		Call: func(context.Context, messenger.Peer, string, []byte) ([]byte, error) {
			*requests++
			return answer, nil
		},
		ReadInterval: time.Second,
		Log:          log,
	})
}

// TestStaleAnswersAreRejected guards against updates from a reader whose state is too old, has an
// impossible age or does not satisfy the request, and against further requests to such a reader
// during its cooldown.
func TestStaleAnswersAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		message  *relayerpb.Told
		complete bool
		accepted bool
	}{
		"fresh":                                 {&relayerpb.Told{Revision: 7}, false, true},
		"older revision":                        {&relayerpb.Told{Revision: 3}, false, true}, // the follower ignores it
		"too old":                               {&relayerpb.Told{Revision: 7, Age: int64(2 * time.Second)}, false, false},
		"negative age":                          {&relayerpb.Told{Revision: 7, Age: -1}, false, false},
		"no state":                              {&relayerpb.Told{}, false, false},
		"changes instead of the complete state": {&relayerpb.Told{Revision: 7}, true, false},
		"complete but older":                    {&relayerpb.Told{Revision: 3, Whole: true}, true, false},
		"complete":                              {&relayerpb.Told{Revision: 7, Whole: true}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := proto.Marshal(c.message)
			is.NoErr(err)
			requests := 0
			r := newRelayerWithAnswer(encoded, &requests)
			_, ok := r.Fetch(t.Context(), 5, c.complete)
			is.Equal(ok, c.accepted)
			if !c.accepted {
				is.Equal(requests, readers)
				_, _ = r.Fetch(t.Context(), 5, c.complete)
				is.Equal(requests, readers) // readers that failed are not queried during their cooldown
			}
		})
	}
}

// TestHistoryReturnsChangesAfterARevision guards against missing or repeated changes in merged
// updates, and against a history that grows without bound.
func TestHistoryReturnsChangesAfterARevision(t *testing.T) {
	is := is.New(t)
	h := history{
		entries: map[string]storer.Entry{},
	}
	entry := func(key string, revision storer.Revision) storer.Entry {
		return storer.Entry{
			Key:      key,
			Revision: revision,
		}
	}
	now := time.Unix(1000, 0)
	h.add(follower.Update{
		Complete: true,
		Entries:  []storer.Entry{entry("a", 3), entry("b", 4)},
		Revision: 5,
	}, now)
	h.add(follower.Update{
		Entries:  []storer.Entry{entry("c", 6)},
		Deleted:  []string{"a"},
		Revision: 6,
	}, now)
	h.add(follower.Update{
		Renewed: []follower.Renewal{
			{
				Key:      "b",
				Revision: 8,
			},
		},
		Revision:  8,
		Recovered: true,
	}, now)
	got := h.since(5, false, true)
	is.Equal(got.Revision, storer.Revision(8))
	is.Equal(got.Entries, []storer.Entry{entry("c", 6)})
	is.Equal(got.Deleted, []string{"a"})
	is.Equal(len(got.Renewed), 1)
	is.True(got.Recovered)
	is.Equal(len(h.since(6, false, false).Renewed), 0) // not requested
	is.True(!h.since(8, false, true).Recovered)
	is.True(h.since(4, false, true).Complete) // the history does not reach back
	complete := h.since(0, true, true)
	is.Equal(complete.Entries, []storer.Entry{entry("b", 8), entry("c", 6)})
	for range 2 * maxUpdates {
		h.add(follower.Update{
			Entries:  []storer.Entry{entry("d", h.revision+1)},
			Revision: h.revision + 1,
		}, now)
	}
	is.True(len(h.updates) <= maxUpdates) // bounded
	is.True(h.since(9, false, true).Complete)
}

// FuzzAnswer passes arbitrary bytes to the code that decodes answers and requests.
func FuzzAnswer(f *testing.F) {
	for _, message := range []*relayerpb.Told{
		{},
		{Revision: 7, Entries: []*relayerpb.Entry{{Key: "a", Revision: 7}}, Deleted: []string{"b"}},
		{Revision: 7, Whole: true, Renewed: []*relayerpb.Renewal{{Key: "a", Revision: 7}}},
	} {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		requests := 0
		r := newRelayerWithAnswer(answer, &requests)
		relayed, ok := r.Fetch(t.Context(), 5, false)
		if ok && (relayed.Update.Revision == 0 || relayed.AsOf.After(time.Now())) {
			t.Fatalf("accepted %v", relayed)
		}
		_, _ = r.handle(t.Context(), messenger.Sender{}, answer)
	})
}
