package resumer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// TestStreamGoesOnAtTheVersionThatBeganIt guards against a stream that goes on at another version, or does not go on although
// an instance knows where it began.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	is := is.New(t)
	s := newTestSite(4, 1)
	s.engines("v1", "v2")
	s.settle()
	s.nodes[0].Began("own", "v2")
	for _, n := range s.nodes {
		version, err := n.Resume(t.Context(), testService, "own")
		is.NoErr(err)
		is.Equal(version, "v2")
	}
	s.nodes[0].Began("told", "v1")
	s.nodes[1].HandleAttachment(s.peer(0), s.nodes[0].Attachment())
	s.down[0] = true
	version, err := s.nodes[2].Resume(t.Context(), testService, "told")
	is.NoErr(err)
	is.Equal(version, "v1")
	s.engines("v2")
	s.read(1)
	var gone *Gone
	_, err = s.nodes[1].Resume(t.Context(), testService, "told")
	is.True(errors.As(err, &gone))
}

// TestRestartedInstancesDoNotGuess guards against instances that all start anew, find engines of one version, and take it for
// the one that began a stream, although those of another version have just left.
func TestRestartedInstancesDoNotGuess(t *testing.T) {
	is := is.New(t)
	s := newTestSite(3, 1)
	s.engines("v1")
	s.settle()
	s.engines("v1", "v2")
	s.settle()
	s.nodes[0].Began("old", "v1")
	s.engines("v2")
	for number := range s.nodes {
		s.start(number)
		s.read(number)
	}
	var unknown *Unknown
	for _, n := range s.nodes {
		_, err := n.Resume(t.Context(), testService, "old")
		is.True(errors.As(err, &unknown)) // ORDER
	}
	s.nodes[1].Began("new", "v2")
	version, err := s.nodes[0].Resume(t.Context(), testService, "new")
	is.NoErr(err)
	is.Equal(version, "v2")
	for range int(retention/time.Second) + 20 {
		s.step(time.Second)
	}
	version, err = s.nodes[0].Resume(t.Context(), testService, "long ago")
	is.NoErr(err)
	is.Equal(version, "v2") // no other version has served for so long
}

// TestStreamsGoOnAfterAllInstancesWereKilled guards against streams that no instance knows any more while engines of two
// versions serve, and against guesses about those that the store does not have.
func TestStreamsGoOnAfterAllInstancesWereKilled(t *testing.T) {
	nothing := func(*testSite) {}
	for name, test := range map[string]struct {
		instances int
		// before is called before the streams begin, after once they have run for a while.
		before, after func(s *testSite)
		// least and most limit the number of streams that go on, of 24.
		least, most int
	}{
		"small":                         {6, nothing, nothing, 24, 24},
		"large":                         {100, nothing, nothing, 24, 24},
		"the first instance is cut off": {6, func(s *testSite) { s.cut[s.first()] = true }, func(s *testSite) { s.cut[s.first()] = false }, 18, 24},
		"without the store":             {6, func(s *testSite) { s.cutAll(true) }, func(s *testSite) { s.cutAll(false) }, 0, 0},
		"restored store":                {6, func(s *testSite) { s.saved = s.copy() }, func(s *testSite) { s.restore(s.saved) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(test.instances, 1)
			s.engines("v1", "v2")
			s.settle()
			test.before(s)
			for number := range 24 {
				s.nodes[number%len(s.nodes)].Began(fmt.Sprint("s", number), s.versions[number%2])
			}
			s.step(4 * time.Second)
			s.nodes[0].Began("last", "v2")
			test.after(s)
			for number := range s.nodes {
				s.start(number)
			}
			s.step(3 * time.Second)
			for number := range 24 {
				s.takeUp(t.Context(), testStream{
					name:    fmt.Sprint("s", number),
					version: s.versions[number%2],
				})
			}
			is.Equal(s.joined, 0)               // ORDER
			is.True(s.resumed >= test.least)    // LOST
			is.True(s.resumed <= test.most)     // what was not stored can't be known
			is.True(s.swaps <= 10+4*test.least) // at most a few writes
			_, err := s.nodes[1].Resume(t.Context(), testService, "last")
			is.True(err != nil) // it began too late to be stored
		})
	}
}

// TestStoredStreamsAreBounded guards against entries that accumulate, and against writes while one version serves.
func TestStoredStreamsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newTestSite(3, 1)
	s.engines("v1")
	s.settle()
	begin := func(rounds int) {
		for round := range rounds {
			for number := range 200 {
				s.nodes[round%3].Began(fmt.Sprint(round, ".", number, ".", s.now), "v1")
			}
			s.step(time.Second)
		}
	}
	before := s.swaps
	begin(20)
	is.Equal(s.swaps, before)
	s.engines("v1", "v2")
	s.settle()
	before = s.swaps
	begin(200)
	is.True(s.swaps-before <= 400) // no write a stream
	is.True(len(s.entries) <= 1+3*groupEntries)
	for _, entry := range s.entries {
		is.True(len(entry.Value) <= 16*maxStored)
	}
	is.True(len(s.nodes[0].archive.pending) <= maxPending)
	s.nodes[0].applyStored(storer.Entry{
		Key:   StreamsPrefix + "0.0",
		Value: []byte{0xff},
	}, false, s.now)
}

// TestInstanceOutOfStepDoesNotGuess guards against an instance that was cut off or stood still while engines of another
// version joined, and takes the one that it knows for the only one.
func TestInstanceOutOfStepDoesNotGuess(t *testing.T) {
	is := is.New(t)
	s := newTestSite(3, 1)
	s.engines("v1")
	s.settle()
	s.cut[2] = true
	s.engines("v1", "v2")
	s.settle()
	is.Equal(s.nodes[0].Versions(testService), []string{"v1", "v2"})
	s.nodes[0].Began("a", "v2")
	_, err := s.nodes[2].Resume(t.Context(), testService, "a")
	var unknown *Unknown
	is.True(errors.As(err, &unknown)) // ORDER
	is.True(unknown.Outdated)
	s.cut[2] = false
	s.read(2)
	version, err := s.nodes[2].Resume(t.Context(), testService, "a")
	is.NoErr(err)
	is.Equal(version, "v2")
}

// TestStreamWithoutIdentityGoesOnAtTheOnlyVersion guards against callers that do not tell which stream they take up again and
// are refused while there is nothing to confuse, or served while there is.
func TestStreamWithoutIdentityGoesOnAtTheOnlyVersion(t *testing.T) {
	is := is.New(t)
	s := newTestSite(2, 1)
	s.engines("v1")
	s.settle()
	version, err := s.nodes[0].Resume(t.Context(), testService, "")
	is.NoErr(err)
	is.Equal(version, "v1")
	s.engines("v1", "v2")
	s.settle()
	s.nodes[0].Began("", "v1")
	_, err = s.nodes[0].Resume(t.Context(), testService, "")
	is.True(err != nil)
}

// TestListSurvivesARestoredStore guards against versions in use that a copy of the store does not list.
func TestListSurvivesARestoredStore(t *testing.T) {
	is := is.New(t)
	s := newTestSite(2, 1)
	s.engines("v1")
	s.settle()
	saved := s.copy()
	s.engines("v1", "v2")
	s.settle()
	s.restore(saved)
	for number := range s.nodes {
		s.read(number)
		is.Equal(len(s.nodes[number].services[testService].list.Versions), 2)
	}
	s.settle()
	s.start(0)
	s.read(0)
	is.Equal(len(s.nodes[0].services[testService].list.Versions), 2) // written again
}

// TestNoStreamChangesItsVersion plays releases with instances that are cut off, stand still and start anew, and takes streams
// up at any of them.
func TestNoStreamChangesItsVersion(t *testing.T) {
	sizes := map[int]int{7: 40, 200: 2}
	if testing.Short() {
		sizes = map[int]int{7: 10}
	}
	for instances, seeds := range sizes {
		resumed, refused := 0, 0
		for seed := range uint64(seeds) {
			is := is.New(t)
			s := newTestSite(instances, seed)
			s.engines("v1")
			s.settle()
			s.playReleases(t.Context(), 90*time.Second)
			is.Equal(s.joined, 0) // ORDER
			resumed, refused = resumed+s.resumed, refused+s.refused
		}
		is := is.New(t)
		t.Logf("instances=%d resumed=%d refused=%d", instances, resumed, refused)
		is.True(resumed > 4*refused) // LOST
	}
}

// TestMemoryIsBounded guards against streams that accumulate.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := newTestSite(2, 1)
	for number := range 5 * maxRecords {
		s.nodes[0].Began(string(rune(number)), "v1")
	}
	is.True(len(s.nodes[0].records.current)+len(s.nodes[0].records.former) <= 2*maxRecords)
	is.True(len(s.nodes[0].records.recent) <= maxRecent)
	is.True(len(s.nodes[0].Attachment()) <= 16_000)
	s.now = s.now.Add(time.Minute)
	is.Equal(len(s.nodes[0].Attachment()), 0)
	s.nodes[1].HandleAttachment(s.peer(0), []byte{0xff, 1})
	_, err := s.nodes[1].handle(context.Background(), s.sender(0), []byte{0xff})
	is.True(err != nil)
}
