package quarantiner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// repeated is the hash of a request that crashes engines and comes again.
const repeated = 4711

// heldEverywhere returns the number of instances that hold a request back.
func (s *testSite) heldEverywhere(request Request) int {
	held := 0
	for _, n := range s.nodes {
		if _, ok := n.Quarantined(request); ok {
			held++
		}
	}
	return held
}

// TestRepeatsOfAllInstancesCountTogether guards against a request without a prompt that crashes three engines for each
// instance to which it comes.
func TestRepeatsOfAllInstancesCountTogether(t *testing.T) {
	sizes := []int{1, 6, 295}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, instances := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(t.Context(), instances, max(12, instances/2), 1)
			defer s.end()
			s.play(2*time.Second, 600*time.Millisecond/time.Duration(instances), 0, s.all()...)
			s.repeat(20*time.Second, 700*time.Millisecond, repeated, s.all()...)
			t.Logf("instances=%d crashes=%d late=%d", instances, len(s.crashes), s.lateRepeats())
			is.True(len(s.crashes) >= minCrashes)
			is.Equal(s.lateRepeats(), 0)
			is.Equal(s.heldEverywhere(Request{Whole: repeated}), instances)
			is.Equal(s.heldEverywhere(Request{Whole: repeated + 1}), 0)
		})
	}
}

// TestRepeatsAreHeldThroughKillsAndCuts plays instances that are replaced and cut off while the request comes.
func TestRepeatsAreHeldThroughKillsAndCuts(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(t.Context(), 7, 12, seed)
			defer s.end()
			for round := range 10 {
				s.repeat(2*time.Second, 600*time.Millisecond, repeated, 2, 3, 4, 5, 6)
				s.start(t.Context(), s.intN(7))
				time.Sleep(testHeartbeat) // an instance that has just started is not in touch
				s.mu.Lock()
				s.cut["i0"], s.cut["i1"] = round%3 == 0, round%3 == 1
				s.mu.Unlock()
			}
			t.Logf("seed=%d crashes=%d late=%d", seed, len(s.crashes), s.lateRepeats())
			is.True(s.lateRepeats() <= testBound)
		})
	}
}

// broke makes a node see the crash of an engine under an attempt that was sent a while before.
func broke(s *testSite, node, engine int, attempt Attempt, ran time.Duration) {
	attempt.Sent = time.Now()
	time.Sleep(ran)
	s.crash(s.engines[engine])
	s.nodes[node].Broke(s.engines[engine].name, engineAddress(engine), attempt)
}

// TestFastRepeatsCount guards against a request that is sent on at once, and whose crashes are joined into one.
func TestFastRepeatsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 3, 4, 1)
		defer s.end()
		request := Request{
			Whole: repeated,
		}
		for round := range minCrashes {
			broke(s, round, round, Attempt{Request: request}, 30*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		is.Equal(s.heldEverywhere(request), 3)
	})
}

// TestLostRackBlamesNoRequest guards against a request that is held back because three engines that ran it were lost together.
func TestLostRackBlamesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 3, 4, 1)
		defer s.end()
		attempt := Attempt{
			Request: Request{
				Whole: repeated,
			},
			Sent: time.Now(),
		}
		time.Sleep(50 * time.Millisecond)
		for round := range minCrashes {
			s.crash(s.engines[round])
			s.nodes[round].Broke(s.engines[round].name, engineAddress(round), attempt)
			time.Sleep(60 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		is.Equal(s.heldEverywhere(attempt.Request), 0)
	})
}

// TestCrashLateInAnAnswerCountsForTheRequestOnly guards against a request that crashes engines after a part of its answer, and
// against the parts of its prompt being blamed for that.
func TestCrashLateInAnAnswerCountsForTheRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 3, 4, 1)
		defer s.end()
		request := Request{
			Parts: []uint64{1, 2},
			Whole: repeated,
		}
		for round := range minCrashes {
			broke(s, round, round, Attempt{Request: request, Begun: true}, time.Second)
			time.Sleep(testDowntime)
		}
		is.Equal(s.heldEverywhere(request), 3)
		is.Equal(s.heldEverywhere(Request{Parts: []uint64{1, 2}, Whole: repeated + 1}), 0)
		is.Equal(s.heldEverywhere(Request{Parts: []uint64{8}, Whole: repeated}), 3) // whatever else it states
	})
}

// TestSinglePromptDoesNotBlameItsParts guards against sound prompts that are held back with one request whose parts they share.
func TestSinglePromptDoesNotBlameItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 3, 4, 1)
		defer s.end()
		request := Request{
			Parts: []uint64{1, 2},
			Whole: repeated,
		}
		for round := range minCrashes {
			broke(s, round, round, Attempt{Request: request}, time.Second)
			time.Sleep(testDowntime)
		}
		is.Equal(s.heldEverywhere(request), 3)
		is.Equal(s.heldEverywhere(Request{Parts: []uint64{1, 2}, Whole: repeated + 1}), 0)
	})
}

// TestCompletedRequestIsSound guards against a request that stays held back although an engine has completed its answer.
func TestCompletedRequestIsSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 3, 4, 1)
		defer s.end()
		request := Request{
			Whole: repeated,
		}
		for round := range minCrashes {
			broke(s, round, round, Attempt{Request: request}, time.Second)
			time.Sleep(testDowntime)
		}
		is.Equal(s.heldEverywhere(request), 3)
		s.nodes[1].Completed(repeated, time.Now()) // it was under way
		time.Sleep(time.Second)
		is.Equal(s.heldEverywhere(request), 0)
	})
}

// TestCrashUnderABusyEngineIsKnownEverywhere guards against evidence that stays at the instance that saw it, because an engine
// ran many requests when it crashed.
func TestCrashUnderABusyEngineIsKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 6, 4, 1)
		defer s.end()
		request := Request{
			Whole: repeated,
		}
		for round := range minCrashes {
			for other := range uint64(60) {
				name := uint64(round+1)*1000 + 10*other
				s.nodes[round].Broke(s.engines[round].name, engineAddress(round), Attempt{
					Request: Request{
						Parts: []uint64{name, name + 1, name + 2},
						Whole: name + 3,
					},
					Sent: time.Now(),
				})
			}
			broke(s, round, round, Attempt{Request: request}, 0)
			time.Sleep(testDowntime + time.Second)
		}
		is.Equal(s.heldEverywhere(request), 6)
		for _, n := range s.nodes {
			is.True(n.count.Load() <= maxSuspects)
		}
	})
}

// TestIdentifyWhole guards against requests that are taken for each other, and one that is not recognized.
func TestIdentifyWhole(t *testing.T) {
	is := is.New(t)
	whole := IdentifyWhole("crates", "/log/1", []byte("body"))
	is.Equal(whole, IdentifyWhole("crates", "/log/1", []byte("body")))
	for _, other := range []uint64{
		IdentifyWhole("boots", "/log/1", []byte("body")),
		IdentifyWhole("crates", "/log/2", []byte("body")),
		IdentifyWhole("crates", "/log/1", []byte("other")),
		IdentifyWhole("crate", "s/log/1", []byte("body")),
		IdentifyWhole("crates", "/log/1b", []byte("ody")),
	} {
		is.True(whole != other)
	}
}
