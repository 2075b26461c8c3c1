package spreader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/verifier/seeder"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

const (
	historySeeds      = 240
	historySeedsShort = 24
	historySteps      = 24
	historyNodes      = 4
)

// history drives a cluster from a seed: acts and withdrawals race with outages, lost answers,
// stale reads, cut links, freezes, and either kills or a store that is rolled back.
type history struct {
	*cluster
	// random makes all choices, so that a seed gives the same steps again.
	random *rand.Rand
	// edit disables safeguards on each node; may be nil.
	edit func(*Spreader)
	// rollbacks selects rollbacks of the store instead of kills.
	rollbacks bool
	faults    platformer.Faults
	acts      int
	stopped   []string
	// ended receives a value when one of the started calls ends.
	ended   chan struct{}
	running int
	healed  time.Time
}

// runHistory runs the history of a seed, and returns its faults and events.
func runHistory(t *testing.T, seed uint64, edit func(*Spreader)) ([]string, []event) {
	var faults []string
	var events []event
	synctest.Test(t, func(t *testing.T) {
		h := &history{
			cluster:   newCluster(t),
			random:    rand.New(rand.NewPCG(seed, 1)),
			edit:      edit,
			rollbacks: seed%2 == 0,
			ended:     make(chan struct{}, 10*historySteps),
		}
		for i := range historyNodes {
			h.launch(fmt.Sprintf("n%d", i))
		}
		h.waitUntilReady()
		for range historySteps {
			h.step(t)
			time.Sleep(time.Duration(h.random.IntN(400)) * time.Millisecond)
			h.exchangeDigests()
		}
		faults = h.heal(t)
		h.stopAll()
		events = h.record.events
	})
	return faults, events
}

// launch starts a node in one of two domains.
func (h *history) launch(name string) {
	h.start(name, fmt.Sprintf("d%d", address(name).Port()%2), h.edit)
}

// pick returns a random running node.
func (h *history) pick() *node {
	nodes := h.all()
	return nodes[h.random.IntN(len(nodes))]
}

// step makes one random change: an act, a withdrawal, a fault or its end.
func (h *history) step(t *testing.T) {
	switch h.random.IntN(16) {
	case 0, 1, 2, 3, 4:
		h.startCall(t, h.pick(), false)
	case 5:
		h.startCall(t, h.pick(), true)
	case 6:
		h.faults.Outage = []platformer.Outage{
			platformer.OutageNone, platformer.OutageRefuse, platformer.OutageHang,
		}[h.random.IntN(3)]
		h.platform.SetFaults(h.faults)
	case 7:
		h.faults.Lost = 1 + h.random.IntN(3)
		h.platform.SetFaults(h.faults)
		h.faults.Lost = 0
	case 8:
		h.faults.Stale = !h.faults.Stale
		h.platform.SetFaults(h.faults)
	case 9, 10:
		h.setCut(h.pick().name, h.pick().name, h.random.IntN(2) == 0)
	case 11:
		h.freeze(h.pick().name)
	case 12:
		h.thaw(h.pick().name)
	case 13:
		h.breakAfterSwap()
	case 14, 15:
		if h.rollbacks {
			h.rollBack()
		} else {
			h.killOrStart()
		}
	}
}

// rollBack rolls the store back to the saved state, or saves the present one.
func (h *history) rollBack() {
	if h.random.IntN(2) == 0 {
		h.platform.Save()
		return
	}
	h.record.add(event{
		kind: eventRestored,
	})
	h.platform.Restore()
}

// killOrStart stops one node, or starts a stopped one again with empty memory.
func (h *history) killOrStart() {
	if len(h.stopped) > 0 {
		h.launch(h.stopped[0])
		h.stopped = h.stopped[1:]
		return
	}
	name := h.pick().name
	h.thaw(name)
	h.stop(name)
	h.stopped = append(h.stopped, name)
}

// startCall starts an operator's act or withdrawal on a node without waiting for it.
func (h *history) startCall(t *testing.T, n *node, withdraw bool) {
	h.acts++
	c := &operatorCall{
		history:  h,
		node:     n,
		name:     fmt.Sprintf("act%d", h.acts),
		withdraw: withdraw,
	}
	h.running++
	go c.run(t.Context())
}

// operatorCall is an operator's act or withdrawal.
type operatorCall struct {
	history  *history
	node     *node
	name     string
	withdraw bool
}

func (c *operatorCall) run(ctx context.Context) {
	defer func() { c.history.ended <- struct{}{} }()
	if c.withdraw {
		_, err := c.node.Withdraw(ctx, withdrawal(configurator.SubjectBatch, c.name))
		c.end(eventWithdrawn, err)
		return
	}
	change := putTeam(c.name, c.name, 1)
	change.Operations[0].Action = configurator.ActionCreate
	_, err := c.node.Act(ctx, change)
	c.end(eventAccepted, err)
}

// end records the outcome.
func (c *operatorCall) end(success eventKind, err error) {
	var unknown *UnknownOutcome
	kind := success
	switch {
	case errors.As(err, &unknown):
		kind = eventUnknown
	case err != nil:
		kind = eventRefused
	}
	c.history.record.add(event{
		kind: kind,
		name: c.name,
	})
}

// waitForAgreement waits until all nodes and the store have agreed for five rounds, for at most
// a minute.
func (h *history) waitForAgreement() {
	for agreed := 0; agreed < 5 && time.Since(h.healed) < time.Minute; {
		h.exchangeDigests()
		time.Sleep(200 * time.Millisecond)
		agreed++
		first, stored := h.all()[0], h.storedHead().Revision
		for _, n := range h.all() {
			if string(n.Digest()) != string(first.Digest()) || n.Current().Revision() != stored {
				agreed = 0
			}
		}
	}
}

// heal ends all faults, waits until all nodes agree and verifies the history.
func (h *history) heal(t *testing.T) []string {
	h.mutex.Lock()
	h.breaking = false
	h.mutex.Unlock()
	h.platform.SetFaults(platformer.Faults{})
	for _, a := range h.all() {
		h.thaw(a.name)
		for _, b := range h.all() {
			h.setCut(a.name, b.name, false)
		}
	}
	for _, name := range h.stopped {
		h.launch(name)
	}
	for range h.running {
		<-h.ended
	}
	h.waitUntilReady()
	h.healed = time.Now()
	h.waitForAgreement()
	for _, n := range h.all() {
		h.record.add(snapshotEvent(eventEnd, n.name, n.Current()))
	}
	faults := verify(h.record.events)
	first := h.all()[0]
	for _, n := range h.all() {
		if string(n.Digest()) != string(first.Digest()) {
			faults = append(faults, n.name+" differs from "+first.name+" at the end")
		}
	}
	if stored := h.storedHead(); stored.Revision != first.Current().Revision() {
		faults = append(faults, fmt.Sprintf("store has revision %d, instances have %d",
			stored.Revision, first.Current().Revision()))
	}
	return faults
}

func TestHistoriesAreMonotonic(t *testing.T) {
	seeds := historySeeds
	if testing.Short() {
		seeds = historySeedsShort
	}
	total := map[eventKind]int{}
	for seed := range seeder.Seeds(seeds) {
		faults, events := runHistory(t, uint64(seed), nil)
		if len(faults) > 0 {
			t.Errorf("seed %d: %v", seed, faults)
		}
		for _, e := range events {
			total[e.kind]++
		}
	}
	t.Logf("%d histories: %v", seeds, total)
	if total[eventAccepted] == 0 || total[eventRefused] == 0 || total[eventUnknown] == 0 || total[eventRestored] == 0 {
		t.Error("the histories do not cover all outcomes")
	}
}

// TestHistoriesDetectDisabledSafeguards disables one safeguard at a time, and checks that some
// history then shows the fault which the safeguard prevents.
func TestHistoriesDetectDisabledSafeguards(t *testing.T) {
	cases := map[string]struct {
		edit func(*Spreader)
		// fault is a substring of the expected fault.
		fault string
	}{
		"monotonic": {
			edit: func(s *Spreader) {
				s.guards.newer = func(_, _ *configurator.Snapshot) bool { return true }
				s.guards.mergeActs = false
				s.guards.repair = false
			},
			fault: " back to ",
		},
		"repair": {
			edit:  func(s *Spreader) { s.guards.repair = false },
			fault: "store has revision",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range historySeeds {
				faults, _ := runHistory(t, uint64(seed), test.edit)
				if index := slices.IndexFunc(faults, func(fault string) bool {
					return strings.Contains(fault, test.fault)
				}); index >= 0 {
					t.Logf("seed %d: %v", seed, faults[index])
					return
				}
			}
			t.Error("no history shows the fault although the safeguard is disabled")
		})
	}
}
