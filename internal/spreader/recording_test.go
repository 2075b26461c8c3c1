package spreader

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// eventKind is the kind of an event of a recorded history.
type eventKind string

const (
	eventInstalled eventKind = "installed" // a node installed a snapshot
	eventAccepted  eventKind = "accepted"  // an operator's act was accepted
	eventRefused   eventKind = "refused"   // an operator's act was reported to have had no effect
	eventUnknown   eventKind = "unknown"   // an operator's act was reported to have an unknown outcome
	eventWithdrawn eventKind = "withdrawn" // an operator's withdrawal was reported to be in force
	eventRestored  eventKind = "restored"  // the store was rolled back to older state
	eventEnd       eventKind = "end"       // the final state of a node, after all faults have ended
)

// event is one event of a recorded history. Every act creates a team that has its name.
type event struct {
	kind      eventKind
	node      string
	revision  uint64
	digest    string
	acts      []string
	withdrawn []string
	name      string
}

// recording collects the events of a history.
type recording struct {
	mutex  sync.Mutex
	events []event
}

func (r *recording) add(e event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, e)
}

// observer records the snapshots that a node installs.
type observer struct {
	recording *recording
	node      string
}

func (o *observer) observe(snapshot *configurator.Snapshot) {
	o.recording.add(snapshotEvent(eventInstalled, o.node, snapshot))
}

// snapshotEvent returns the event of a node's snapshot; its acts are the teams of the
// snapshot.
func snapshotEvent(kind eventKind, node string, snapshot *configurator.Snapshot) event {
	e := event{
		kind:     kind,
		node:     node,
		revision: snapshot.Revision(),
		digest:   snapshot.Digest().String(),
	}
	for team := range snapshot.Teams() {
		e.acts = append(e.acts, team.Name)
	}
	for withdrawal := range snapshot.Withdrawals().All() {
		e.withdrawn = append(e.withdrawn, withdrawal.Name)
	}
	return e
}

// verify returns the faults in a history: revisions that decrease, accepted acts and
// withdrawals that are lost, refused acts that are in force, and revisions with two contents
// unless the store was rolled back.
func verify(events []event) []string {
	var faults []string
	fault := func(format string, arguments ...any) { faults = append(faults, fmt.Sprintf(format, arguments...)) }
	latest := map[string]event{}
	digests := map[uint64]string{}
	accepted, refused, withdrawn := map[string]bool{}, map[string]bool{}, map[string]bool{}
	restored := slices.ContainsFunc(events, func(e event) bool { return e.kind == eventRestored })
	for _, e := range events {
		switch e.kind {
		case eventAccepted:
			accepted[e.name] = true
		case eventRefused:
			refused[e.name] = true
		case eventWithdrawn:
			withdrawn[e.name] = true
		case eventInstalled:
			before := latest[e.node]
			if e.revision < before.revision {
				fault("%s went from revision %d back to %d", e.node, before.revision, e.revision)
			}
			for _, lost := range difference(before.acts, e.acts) {
				fault("%s lost act %s at revision %d", e.node, lost, e.revision)
			}
			for _, lost := range difference(before.withdrawn, e.withdrawn) {
				fault("%s lost withdrawal %s", e.node, lost)
			}
			if other, ok := digests[e.revision]; ok && other != e.digest && !restored {
				fault("revision %d has two contents", e.revision)
			}
			digests[e.revision] = e.digest
			latest[e.node] = e
		case eventEnd:
			for _, lost := range difference(slices.Collect(maps.Keys(accepted)), e.acts) {
				fault("%s lacks accepted act %s", e.node, lost)
			}
			for _, lost := range difference(slices.Collect(maps.Keys(withdrawn)), e.withdrawn) {
				fault("%s lacks withdrawal %s", e.node, lost)
			}
			for _, name := range e.acts {
				if refused[name] {
					fault("%s has act %s that was refused", e.node, name)
				}
			}
		}
	}
	return faults
}

// difference returns the names of the first list that are not in the second.
func difference(first, second []string) []string {
	var missing []string
	for _, name := range first {
		if !slices.Contains(second, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

func TestVerifyDetectsFaultyHistories(t *testing.T) {
	installed := func(node string, revision uint64, digest string, acts ...string) event {
		return event{
			kind:      eventInstalled,
			node:      node,
			revision:  revision,
			digest:    digest,
			acts:      acts,
			withdrawn: acts,
		}
	}
	named := func(kind eventKind, name string) event {
		return event{
			kind: kind,
			name: name,
		}
	}
	end := func(acts ...string) event {
		return event{
			kind: eventEnd,
			node: "a",
			acts: acts,
		}
	}
	cases := map[string]struct {
		events []event
		faults int
	}{
		"faultless": {
			events: []event{installed("a", 1, "x", "p"), named(eventAccepted, "p"), end("p")},
		},
		"lower revision": {
			events: []event{installed("a", 2, "x"), installed("a", 1, "y")},
			faults: 1,
		},
		"lost act": {
			events: []event{installed("a", 1, "x", "p"), installed("a", 2, "y")},
			faults: 2,
		},
		"two contents": {
			events: []event{installed("a", 1, "x"), installed("b", 1, "y")},
			faults: 1,
		},
		"accepted act missing": {
			events: []event{named(eventAccepted, "p"), end()},
			faults: 1,
		},
		"refused act in force": {
			events: []event{named(eventRefused, "p"), end("p")},
			faults: 1,
		},
		"withdrawal missing": {
			events: []event{named(eventWithdrawn, "p"), end()},
			faults: 1,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(verify(test.events)), test.faults)
		})
	}
}
