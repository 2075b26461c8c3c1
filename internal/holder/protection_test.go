package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// scenario is a sequence of faults that the protocol survives, and that leads to two holders once
// the given protection is disabled.
type scenario struct {
	name     string
	disabled protections
	size     int
	script   func(s *testDomain, holder *node)
}

var scenarios = []scenario{
	{
		name: "an order takes effect just after the deadline",
		disabled: protections{
			margin: true,
		},
		size: 3,
		script: func(s *testDomain, holder *node) {
			for i := range 20 {
				// Each round shifts the phase between renewals and ticks.
				time.Sleep(time.Duration(i) * 130 * time.Millisecond)
				s.store.outage(holder.name, true)
				for range 24 {
					// The others reach the store, so they grant no extensions.
					time.Sleep(500 * time.Millisecond)
					for _, n := range s.all() {
						n.holder.recordStoreAnswer(n.now())
					}
				}
				s.store.outage(holder.name, false)
				time.Sleep(5 * time.Second)
				holder = s.byName(s.holders()[0])
			}
		},
	},
	{
		name: "a suspended machine resumes with a clock that stood still",
		disabled: protections{
			freezeDetection: true,
		},
		size: 4,
		script: func(s *testDomain, holder *node) {
			for range 5 {
				holder.freeze(30*time.Second, true)
				time.Sleep(60 * time.Second)
				holder = s.byName(s.holders()[0])
			}
		},
	},
	{
		name: "the store recovers while the holder has an extension and is isolated",
		disabled: protections{
			extensionWait: true,
		},
		size: 3,
		script: func(s *testDomain, holder *node) {
			s.store.outage("", true)
			time.Sleep(12 * time.Second)
			s.cut(holder.name, "", true)
			s.hide(holder.name, true)
			s.store.outage(holder.name, true)
			s.store.outage("", false)
			time.Sleep(60 * time.Second)
		},
	},
	{
		name: "one of two witnesses claims the duty",
		disabled: protections{
			unanimity: true,
		},
		size: 3,
		script: func(s *testDomain, holder *node) {
			claimant := s.preferred(holder)
			for _, n := range s.all() {
				if n != claimant {
					s.store.outage(n.name, true)
				}
			}
			s.cut(claimant.name, "", true)
			s.hide(holder.name, true)
			time.Sleep(60 * time.Second)
		},
	},
	{
		name: "a witness restarts and loses the extension that it granted",
		disabled: protections{
			witnessRestart: true,
		},
		size: 2,
		script: func(s *testDomain, holder *node) {
			witness := s.preferred(holder)
			s.store.outage("", true)
			for witness.holder.duties[testDuty].dump().Promised.IsZero() {
				time.Sleep(50 * time.Millisecond)
			}
			witness.kill()
			time.Sleep(100 * time.Millisecond)
			s.put(s.start(witness.index, 2))
			s.store.outage("", false)
			time.Sleep(4 * time.Second)
			s.store.outage(holder.name, true)
			s.cut(holder.name, "", true)
			s.hide(holder.name, true)
			time.Sleep(60 * time.Second)
		},
	},
	{
		name: "a new instance claims while the former holder has an extension",
		disabled: protections{
			formerHolders: true,
		},
		size: 2,
		script: func(s *testDomain, holder *node) {
			for _, n := range s.all() {
				s.store.outage(n.name, true)
			}
			time.Sleep(12 * time.Second)
			s.hide(holder.name, true)
			s.cut(holder.name, "a2", true)
			s.put(s.start(2, 1))
			time.Sleep(60 * time.Second)
		},
	},
	{
		name: "the last order of a previous incarnation takes effect after the first of the next",
		disabled: protections{
			inFlight: true,
		},
		size: 2,
		script: func(s *testDomain, holder *node) {
			for incarnation := range uint64(20) {
				holder.kill()
				time.Sleep(20 * time.Millisecond)
				holder = s.start(holder.index, incarnation+2)
				s.put(holder)
				time.Sleep(10 * time.Second)
				holder = s.byName(s.holders()[0])
			}
		},
	},
	{
		name: "a restored store hands out an epoch again after all instances died",
		disabled: protections{
			eraEpochs: true,
		},
		size: 3,
		script: func(s *testDomain, holder *node) {
			saved := s.store.copy()
			holder.kill()
			time.Sleep(30 * time.Second)
			for _, n := range s.all() {
				n.kill()
			}
			s.store.restore(saved)
			for _, n := range s.all() {
				s.put(s.start(n.index, n.incarnation+1))
			}
			time.Sleep(60 * time.Second)
		},
	},
	{
		name: "a restored store lacks the record of the holder",
		disabled: protections{
			restoredRecord: true,
		},
		size: 2,
		script: func(s *testDomain, holder *node) {
			for range 10 {
				saved := s.store.copy()
				other := s.preferred(holder)
				holder.kill()
				for len(s.holders()) == 0 {
					time.Sleep(50 * time.Millisecond)
				}
				s.cut(holder.name, other.name, true)
				s.store.restore(saved)
				s.put(s.start(holder.index, holder.incarnation+1))
				time.Sleep(60 * time.Second)
				s.cut(holder.name, other.name, false)
				time.Sleep(30 * time.Second)
				holder = s.byName(s.holders()[0])
			}
		},
	},
}

// preferred returns the instance that would be the first to claim after the holder.
func (s *testDomain) preferred(holder *node) *node {
	for _, member := range ranked(testDuty, s.members(holder)) {
		return s.byName(member.Peer.Name)
	}
	return nil
}

// run runs a scenario and reports whether two holders acted.
func (sc scenario) run(t *testing.T, disabled protections) (found bool, acts int) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestDomain(sc.size, 1, disabled)
		defer s.stop()
		time.Sleep(20 * time.Second)
		sc.script(s, s.byName(s.holders()[0]))
		s.lock.Lock()
		defer s.lock.Unlock()
		_, _, found = firstViolation(s.acts)
		acts = len(s.acts)
	})
	return found, acts
}

// TestEachProtectionIsNeeded guards against a protection that is ineffective or untested: each
// scenario must pass with all protections and show two holders without its own.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			found, acts := sc.run(t, protections{})
			is.True(!found) // at most one holder at a time
			is.True(acts > 100)
			found, _ = sc.run(t, sc.disabled)
			is.True(found) // two holders without the protection
		})
	}
}
