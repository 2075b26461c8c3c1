package tracker

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// State is the state of a member in the tracker's view.
type State string

// The states of a member.
const (
	// Alive members answered a recent heartbeat.
	Alive State = "alive"
	// Suspect members missed heartbeats but may still be running.
	Suspect State = "suspect"
	// Leaving members announced a graceful shutdown.
	Leaving State = "leaving"
	// Dead members were silent for so long that only a higher counter or incarnation makes them
	// alive again.
	Dead State = "dead"
)

// Member is one instance in the tracker's view.
type Member struct {
	// Peer is the instance's name and address.
	Peer messenger.Peer
	// Domain is its failure domain.
	Domain string
	// Incarnation is the latest known number of a start of the instance; zero if nobody has heard
	// from it.
	Incarnation uint64
	// Counter is raised by the member to refute reports that it is suspect or dead.
	Counter uint32
	// State is the state in the tracker's view.
	State State
	// LastHeard is when this instance last heard from the member itself, by the local clock; zero if it
	// knows of the member only from others.
	LastHeard time.Time
}

// supersedes reports whether m is more recent information about the same instance than other.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Counter != other.Counter {
		return m.Counter > other.Counter
	}
	return m.State.rank() > other.State.rank()
}

// rank orders states of one incarnation and counter.
func (s State) rank() int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	default:
		return 0
	}
}

// Present reports whether a member in this state takes part in the membership, that is alive or
// suspect.
func (s State) Present() bool { return s == Alive || s == Suspect }
