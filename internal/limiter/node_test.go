package limiter

import (
	"errors"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// now blocks while the instance is frozen.
func (n *node) now() time.Time {
	for {
		n.mu.Lock()
		gate := n.gate
		n.mu.Unlock()
		if gate == nil {
			return time.Now()
		}
		<-gate
	}
}

// mute drops the messages that the instance sends and hides it from the others.
func (n *node) mute() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muted = true
}

func (n *node) isMuted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muted
}

// freeze stops the instance's clock, as if the process were paused.
func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate == nil && !n.dead {
		n.gate = make(chan struct{})
	}
}

// thaw ends a freeze.
func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate != nil {
		close(n.gate)
		n.gate = nil
	}
}

func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dead && n.gate == nil
}

// kill ends the instance without a shutdown and reports whether it was alive.
func (n *node) kill() bool {
	n.mu.Lock()
	wasDead := n.dead
	n.dead = true
	n.mu.Unlock()
	n.thaw()
	n.cancel()
	return !wasDead
}

// term does not block while frozen, because its caller holds a lock and fake time does not advance while a
// goroutine waits for a lock.
func (n *node) term(string) (Term, bool) {
	n.mu.Lock()
	own := n.ownTerm
	hidden := n.termHidden
	n.mu.Unlock()
	if own == nil || hidden {
		return Term{}, false
	}
	return Term{
		Epoch: own.epoch,
		Check: func() error {
			now := time.Now()
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.dead || n.checkFails || n.ownTerm != own || !now.Before(own.deadline) {
				return errors.New("term over")
			}
			return nil
		},
	}, true
}

// owner returns the holder of the duty as this instance knows it.
func (n *node) owner(string) (messenger.Peer, uint64, bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	current := n.fleet.terms[n.domain]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outdatedTerm != nil {
		current = n.outdatedTerm
	}
	if current == nil {
		return messenger.Peer{}, 0, false
	}
	return messenger.Peer{
		Name: current.name,
	}, current.epoch, true
}
