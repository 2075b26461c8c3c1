package configurator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

var changeTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// change returns a change whose operations create records unless they have an
// action.
func change(id string, operations ...configurator.Operation) configurator.Change {
	for i := range operations {
		if operations[i].Action == "" {
			operations[i].Action = configurator.ActionCreate
		}
	}
	return configurator.Change{
		ID:         id,
		Operator:   "ann",
		At:         changeTime,
		Operations: operations,
	}
}

func team(name string) configurator.Operation {
	return configurator.Operation{
		Team: &configurator.Team{
			Name: name,
			Rate: 1,
		},
	}
}

func model(name string) configurator.Operation {
	return configurator.Operation{
		Model: &configurator.Model{
			Name: name,
		},
	}
}

func batch(name string) configurator.Operation {
	return configurator.Operation{
		Batch: &configurator.Batch{
			Name: name,
		},
	}
}

func version(model, name, batch string) configurator.Operation {
	return configurator.Operation{
		Version: &configurator.Version{
			Model:      model,
			Name:       name,
			Checkpoint: model + "@" + name,
			Batch:      batch,
		},
	}
}

func adapter(name, model, batch string) configurator.Operation {
	return configurator.Operation{
		Adapter: &configurator.Adapter{
			Name:  name,
			Model: model,
			Bytes: 1 << 20,
			Batch: batch,
		},
	}
}

func key(name, team, secret, batch string) configurator.Operation {
	sum := sha256.Sum256([]byte(secret))
	return configurator.Operation{
		Key: &configurator.Key{
			Name:  name,
			Team:  team,
			Hash:  hex.EncodeToString(sum[:]),
			Batch: batch,
		},
	}
}

func service(name, path string) configurator.Operation {
	return configurator.Operation{
		Service: &configurator.Service{
			Name: name,
			Path: path,
		},
	}
}

func upstream(name string) configurator.Operation {
	return configurator.Operation{
		Upstream: &configurator.Upstream{
			Name: name,
		},
	}
}

func apply(t testing.TB, snapshot *configurator.Snapshot, changes ...configurator.Change) *configurator.Snapshot {
	t.Helper()
	for _, next := range changes {
		applied, err := snapshot.Apply(next)
		if err != nil {
			t.Fatal(err)
		}
		snapshot = applied
	}
	return snapshot
}

// smallSnapshot returns a snapshot with one record of each kind except routes, and two
// services.
func smallSnapshot(t testing.TB) *configurator.Snapshot {
	return apply(t, configurator.Empty(), change("setup",
		team("crates"), batch("b1"), model("m1"), version("m1", "v1", "b1"),
		adapter("a1", "m1", "b1"), key("k1", "crates", "secret", "b1"),
		service("log", "/crates/"), service("hire", "/crates/hire/"), upstream("e1")))
}

func TestLookups(t *testing.T) {
	is := is.New(t)
	s := smallSnapshot(t)
	k, ok := s.KeyByHash(sha256.Sum256([]byte("secret")))
	is.True(ok)
	is.Equal(k.Name, "k1")
	_, ok = s.KeyByHash(sha256.Sum256([]byte("other")))
	is.True(!ok)
	match, ok := s.ServiceByPath("/crates/hire/7")
	is.True(ok)
	is.Equal(match.Name, "hire")
	match, ok = s.ServiceByPath("/crates/7")
	is.True(ok)
	is.Equal(match.Name, "log")
	_, ok = s.ServiceByPath("/other")
	is.True(!ok)
	_, ok = s.Version("m1", "v1")
	is.True(ok)
	is.Equal(s.Revision(), uint64(1))
}

func TestLookupsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	s := smallSnapshot(t)
	hash := sha256.Sum256([]byte("secret"))
	allocations := testing.AllocsPerRun(100, func() {
		k, _ := s.KeyByHash(hash)
		v, _ := s.Version("m1", "v1")
		a, _ := s.Adapter("a1")
		_, _ = s.Model("m1")
		_, _ = s.Team(k.Team)
		_, _ = s.ServiceByPath("/crates/7")
		_ = s.KeyWithdrawn(k) || s.VersionWithdrawn(v) || s.AdapterWithdrawn(a)
	})
	is.Equal(allocations, 0.0)
}

func TestBatchWithdrawsItsMembers(t *testing.T) {
	is := is.New(t)
	s := smallSnapshot(t)
	withdrawn, err := configurator.NewWithdrawals().Add(configurator.Withdrawal{
		Subject: configurator.SubjectBatch,
		Name:    "b1",
		At:      changeTime,
	})
	is.NoErr(err)
	after := s.WithWithdrawals(withdrawn)
	k, _ := after.Key("k1")
	v, _ := after.Version("m1", "v1")
	a, _ := after.Adapter("a1")
	is.True(after.KeyWithdrawn(k) && after.VersionWithdrawn(v) && after.AdapterWithdrawn(a))
	is.True(!s.KeyWithdrawn(k)) // the original snapshot is unmodified
	is.Equal(after.Digest(), s.Digest())
}

func TestWithdrawnVersionNameIsSplitAtLastSlash(t *testing.T) {
	is := is.New(t)
	withdrawn, err := configurator.NewWithdrawals().Add(configurator.Withdrawal{
		Subject: configurator.SubjectVersion,
		Name:    "org/m1/v1",
	})
	is.NoErr(err)
	s := smallSnapshot(t).WithWithdrawals(withdrawn)
	is.True(s.VersionWithdrawn(configurator.Version{
		Model: "org/m1",
		Name:  "v1",
	}))
	is.True(s.Withdrawn(configurator.SubjectVersion, "org/m1/v1"))
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		operation configurator.Operation
		want      any
	}{
		"used team": {
			operation: team("crates"),
			want:      new(*configurator.AlreadyUsed),
		},
		"used key name": {
			operation: key("k1", "crates", "new", ""),
			want:      new(*configurator.AlreadyUsed),
		},
		"used secret": {
			operation: key("k2", "crates", "secret", ""),
			want:      new(*configurator.AlreadyUsed),
		},
		"used version": {
			operation: version("m1", "v1", ""),
			want:      new(*configurator.AlreadyUsed),
		},
		"used batch": {
			operation: batch("b1"),
			want:      new(*configurator.AlreadyUsed),
		},
		"no team": {
			operation: key("k2", "none", "new", ""),
			want:      new(*configurator.NotFound),
		},
		"no batch": {
			operation: adapter("a2", "m1", "none"),
			want:      new(*configurator.NotFound),
		},
		"no model": {
			operation: adapter("a2", "none", ""),
			want:      new(*configurator.NotFound),
		},
		"name of a model": {
			operation: adapter("m1", "m1", ""),
			want:      new(*configurator.Invalid),
		},
		"relative path": {
			operation: service("s", "crates"),
			want:      new(*configurator.Invalid),
		},
		"path taken": {
			operation: service("s", "/crates/"),
			want:      new(*configurator.Invalid),
		},
		"empty name": {
			operation: upstream(""),
			want:      new(*configurator.Invalid),
		},
		"no record": {
			operation: configurator.Operation{},
			want:      new(*configurator.Malformed),
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := smallSnapshot(t).Apply(change("next", test.operation))
			is.True(errors.As(err, test.want))
		})
	}
}

func TestNegativeRateIsRefused(t *testing.T) {
	is := is.New(t)
	operation := team("boots")
	operation.Team.Rate = -1
	_, err := smallSnapshot(t).Apply(change("next", operation))
	var invalid *configurator.Invalid
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Field, "rate")
}

func TestModelNeedsItsVersion(t *testing.T) {
	is := is.New(t)
	operation := model("m1")
	operation.Action = configurator.ActionPut
	operation.Model.Version = "v2"
	_, err := smallSnapshot(t).Apply(change("next", operation))
	var missing *configurator.NotFound
	is.True(errors.As(err, &missing))
	is.Equal(missing.Name, "m1/v2")
}

func TestRecordInUseIsNotRemoved(t *testing.T) {
	is := is.New(t)
	var inUse *configurator.InUse
	for _, operation := range []configurator.Operation{team("crates"), model("m1")} {
		operation.Action = configurator.ActionRemove
		_, err := smallSnapshot(t).Apply(change("next", operation))
		is.True(errors.As(err, &inUse))
	}
	removal := adapter("a1", "", "")
	removal.Action = configurator.ActionRemove
	s := apply(t, smallSnapshot(t), change("next", removal))
	_, ok := s.Adapter("a1")
	is.True(!ok)
}

func TestFailedChangeModifiesNothing(t *testing.T) {
	is := is.New(t)
	s := smallSnapshot(t)
	before := s.Digest()
	_, err := s.Apply(change("next", team("boots"), team("crates")))
	is.True(err != nil)
	is.Equal(s.Digest(), before)
	_, ok := s.Team("boots")
	is.True(!ok)
}

func TestRepeatedChangeIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := smallSnapshot(t).Apply(change("setup", team("boots")))
	var repeated *configurator.Repeated
	is.True(errors.As(err, &repeated))
	is.Equal(repeated.Revision, uint64(1))
}

func TestPutOfAnEqualVersionDoesNothing(t *testing.T) {
	is := is.New(t)
	again := version("m1", "v1", "b1")
	again.Action = configurator.ActionPut
	s := apply(t, smallSnapshot(t), change("next", again))
	is.Equal(s.Revision(), uint64(2))
	other := version("m1", "v1", "")
	other.Action = configurator.ActionPut
	_, err := s.Apply(change("third", other))
	var used *configurator.AlreadyUsed
	is.True(errors.As(err, &used))
}

func TestAssembleFromDocuments(t *testing.T) {
	is := is.New(t)
	s := smallSnapshot(t)
	contents := map[string][]byte{}
	for _, document := range configurator.Empty().Differing(s.Head()) {
		content, err := s.Encode(document.Name)
		is.NoErr(err)
		contents[document.Name] = content
	}
	assembled, err := configurator.Empty().Assemble(s.Head(), contents)
	is.NoErr(err)
	is.Equal(assembled.Digest(), s.Digest())
	contents["team.00"] = []byte(`[{"name":"crates","rate":2,"burst":0}]`)
	_, err = configurator.Empty().Assemble(s.Head(), contents)
	var mismatch *configurator.Mismatch
	is.True(errors.As(err, &mismatch)) // a document with another digest is refused
}

func TestArchiveRestoresEverything(t *testing.T) {
	is := is.New(t)
	s := smallSnapshot(t)
	encoded, err := s.Archive().Encode()
	is.NoErr(err)
	archive, err := configurator.DecodeArchive(encoded)
	is.NoErr(err)
	restored, err := archive.Snapshot()
	is.NoErr(err)
	is.Equal(len(configurator.Diff(s, restored)), 0)
	is.Equal(len(restored.Differing(s.Head())), 0)
}

func TestHistoryOfActsIsBounded(t *testing.T) {
	is := is.New(t)
	s := configurator.Empty()
	for i := range 2 * configurator.RecentActs {
		s = apply(t, s, change(fmt.Sprint("act", i), team(fmt.Sprint("t", i))))
	}
	acts := s.Acts()
	is.Equal(len(acts), configurator.RecentActs)
	is.True(acts[len(acts)-1].Complete())
	is.True(!acts[0].Complete())
}

func ExampleSnapshot_Apply() {
	s, err := configurator.Empty().Apply(configurator.Change{
		ID: "first",
		Operations: []configurator.Operation{{
			Action: configurator.ActionCreate,
			Team: &configurator.Team{
				Name: "crates",
				Rate: 100,
			},
		}},
	})
	fmt.Println(s.Revision(), err)
	// Output: 1 <nil>
}
