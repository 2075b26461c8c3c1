package quarantiner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// testBound is the largest number of deadly prompts that may reach engines later than 3 s after the fifth crash.
const testBound = 3

// TestSightingsOfAllInstancesCountTogether guards against instances that each wait for crashes of their own.
func TestSightingsOfAllInstancesCountTogether(t *testing.T) {
	sizes := []int{1, 6, 295}
	if testing.Short() {
		sizes = sizes[:2] // the largest takes a minute under the race detector
	}
	for _, instances := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(t.Context(), instances, max(12, instances/2), 1)
			defer s.end()
			interval := 600 * time.Millisecond / time.Duration(instances)
			s.play(4*time.Second, interval, 0, s.all()...)
			began, bytes := time.Now(), s.bytes
			s.play(20*time.Second, interval, 400*time.Millisecond, s.all()...)
			perNode := float64(s.bytes-bytes) / time.Since(began).Seconds() / float64(instances)
			t.Logf("instances=%d crashes=%d deadly=%d late=%d sent=%d refused=%d bytes=%.0f", instances, len(s.crashes), len(s.deadlyAt), s.late(), s.sent, s.refused, perNode)
			is.True(len(s.crashes) >= minCrashes)
			is.True(s.late() <= testBound)
			is.True(s.refused <= s.sent/20)
			is.True(perNode <= 16_000) // the target for all control messages
		})
	}
}

// TestSightingsSurviveKillsAndCuts plays instances that are replaced and cut off while deadly prompts come.
func TestSightingsSurviveKillsAndCuts(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(t.Context(), 7, 12, seed)
			defer s.end()
			s.play(4*time.Second, 100*time.Millisecond, 0, s.all()...)
			for round := range 10 {
				s.play(2*time.Second, 100*time.Millisecond, 500*time.Millisecond, 2, 3, 4, 5, 6)
				s.start(t.Context(), s.intN(7))
				s.mu.Lock()
				s.cut["i0"], s.cut["i1"] = round%3 == 0, round%3 == 1
				s.mu.Unlock()
			}
			t.Logf("seed=%d crashes=%d deadly=%d late=%d sent=%d refused=%d", seed, len(s.crashes), len(s.deadlyAt), s.late(), s.sent, s.refused)
			is.True(s.late() <= testBound)
			is.True(s.refused <= s.sent/20)
		})
	}
}

// TestNewInstancesKnowWhatOthersKnow guards against deadly prompts that reach engines through instances that have just started,
// while some of the others are cut off.
func TestNewInstancesKnowWhatOthersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 7, 12, 1)
		defer s.end()
		for round := range minCrashes {
			crashUnder(s, 2, round, []uint64{deadly})
		}
		s.mu.Lock()
		s.cut["i0"] = true
		s.mu.Unlock()
		for number := range 5 {
			s.start(t.Context(), 2+number)
			s.send(2+number, []uint64{1, deadly})
		}
		is.Equal(len(s.deadlyAt), 0)
		began := time.Now()
		s.start(t.Context(), 0) // nobody answers
		s.send(0, []uint64{1, 10})
		is.True(time.Since(began) < learnTimeout+time.Second)
	})
}

// TestCrashesWithoutADeadlyPartQuarantineNothing guards against sound prompts that are refused because engines crash for
// other reasons, one by one and many at once.
func TestCrashesWithoutADeadlyPartQuarantineNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 7, 12, 3)
		defer s.end()
		s.play(2*time.Second, 50*time.Millisecond, 0, s.all()...)
		for round := range 12 {
			s.crash(s.engines[round])
			if round%4 == 0 {
				for _, e := range s.engines[:6] {
					s.crash(e)
				}
			}
			s.play(1500*time.Millisecond, 50*time.Millisecond, 0, s.all()...)
		}
		is.True(s.sent > 300)
		is.Equal(s.refused, 0)
	})
}

// crashUnder makes a node see a crash of an engine under prompts.
func crashUnder(s *testSite, node, engine int, prompts ...[]uint64) {
	s.crash(s.engines[engine])
	for _, parts := range prompts {
		s.nodes[node].Broke(s.engines[engine].name, engineAddress(engine), Attempt{Request: Request{Parts: parts}})
	}
	time.Sleep(testDowntime + time.Second)
}

// TestSoundPromptsThatShareAllElseGoOn guards against a quarantine of the beginning that deadly and sound prompts share.
func TestSoundPromptsThatShareAllElseGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 3, 4, 1)
		defer s.end()
		for round := range minCrashes {
			crashUnder(s, round, round, []uint64{1, deadly}, []uint64{1, 20 + uint64(round)}) // the second one is beside it
		}
		_, held := s.nodes[0].Quarantined(Request{Parts: []uint64{1, deadly}})
		is.True(held)
		_, held = s.nodes[0].Quarantined(Request{Parts: []uint64{1, 30}})
		is.True(!held)
		crashUnder(s, 1, 3, []uint64{2, deadly}) // the rest of the prompt differs
		for _, n := range s.nodes {
			_, held = n.Quarantined(Request{Parts: []uint64{3, deadly}})
			is.True(held)
			_, held = n.Quarantined(Request{Parts: []uint64{1, 30}})
			is.True(!held)
		}
	})
}

// TestQuarantineOfASoundPartEnds guards against a part that stays quarantined although an engine answers prompts with it,
// and that the next crash beside it quarantines again.
func TestQuarantineOfASoundPartEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 3, 4, 1)
		defer s.end()
		for round := range minCrashes {
			crashUnder(s, round, round, []uint64{7})
		}
		_, held := s.nodes[2].Quarantined(Request{Parts: []uint64{7, 8}})
		is.True(held)
		s.nodes[1].Survived([]uint64{7}, time.Now()) // it was under way
		time.Sleep(time.Second)
		for _, n := range s.nodes {
			_, held = n.Quarantined(Request{Parts: []uint64{7, 8}})
			is.True(!held)
		}
		crashUnder(s, 0, 3, []uint64{7})
		_, held = s.nodes[0].Quarantined(Request{Parts: []uint64{7, 8}})
		is.True(!held)
	})
}

// TestQuarantineEndsAndReturnsLonger guards against what is known for ever, and against a part that crashes three engines
// after each of its terms.
func TestQuarantineEndsAndReturnsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 2, 4, 1)
		defer s.end()
		for round := range minCrashes {
			crashUnder(s, 0, round, []uint64{deadly})
		}
		until, held := s.nodes[1].Quarantined(Request{Parts: []uint64{deadly}})
		is.True(held)
		is.True(time.Until(until) <= minTerm)
		time.Sleep(minTerm)
		_, held = s.nodes[1].Quarantined(Request{Parts: []uint64{deadly}})
		is.True(!held)
		crashUnder(s, 1, 0, []uint64{deadly})
		until, held = s.nodes[0].Quarantined(Request{Parts: []uint64{deadly}})
		is.True(held)
		is.True(time.Until(until) > minTerm)
		time.Sleep(8 * minTerm)
		_ = s.nodes[0].Attachment()
		is.Equal(s.nodes[0].count.Load(), int64(0)) // nothing is left
	})
}

// TestBrokenAnswersOfLivingEnginesDoNotCount guards against parts that are blamed for connections that were reset or
// answers that were broken off.
func TestBrokenAnswersOfLivingEnginesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 1, 4, 1)
		defer s.end()
		for range 10 {
			s.nodes[0].Broke("e1", engineAddress(1), Attempt{Request: Request{Parts: []uint64{5}}})
			time.Sleep(3 * time.Second)
		}
		is.Equal(s.nodes[0].count.Load(), int64(0))
		s.nodes[0].mu.Lock()
		defer s.nodes[0].mu.Unlock()
		is.Equal(len(s.nodes[0].crashes), 0)
	})
}

// TestMemoryIsBounded guards against suspects and crashes that accumulate.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 2, 4, 1)
		defer s.end()
		for part := range uint64(4 * maxSuspects) {
			s.crash(s.engines[part%4])
			s.nodes[0].Broke(s.engines[part%4].name, engineAddress(int(part%4)), Attempt{Request: Request{Parts: []uint64{part, part + 1_000_000}}})
			time.Sleep(500 * time.Millisecond)
		}
		for _, n := range s.nodes {
			is.True(n.count.Load() <= maxSuspects)
			n.mu.Lock()
			is.True(len(n.crashes) <= len(s.engines))
			n.mu.Unlock()
			is.True(len(n.Attachment()) <= 4096)
		}
	})
}

// TestCrashUnderManyPartsIsRecorded guards against an instance that ends because the prompts of one crash have more parts than
// it keeps.
func TestCrashUnderManyPartsIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t.Context(), 2, 4, 1)
		defer s.end()
		prompts := make([][]uint64, 20)
		for i := range prompts {
			for part := range uint64(60) {
				prompts[i] = append(prompts[i], uint64(1000*i)+part)
			}
		}
		crashUnder(s, 0, 0, prompts...)
		for _, n := range s.nodes {
			is.True(n.count.Load() <= maxSuspects)
		}
		is.True(s.nodes[0].count.Load() > 0)
	})
}
