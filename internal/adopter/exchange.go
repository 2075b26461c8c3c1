package adopter

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Topic is the topic of requests for the document of the configuration in force.
const Topic = "configuration"

const (
	// patience is how long a configuration that another instance has in force may take to arrive from the store.
	patience = time.Second
	// checkInterval is the time between two checks whether it has arrived.
	checkInterval = 250 * time.Millisecond
	// callTimeout limits a request for the document.
	callTimeout = time.Second
)

// peerAhead is an instance with a later revision in force.
type peerAhead struct {
	peer     messenger.Peer
	revision uint64
	// due is when its document is requested, unless the revision has arrived from the store.
	due time.Time
}

// Attachment returns the revision in force for a heartbeat; it is empty while there is none.
func (a *Adopter) Attachment() []byte {
	if !a.Ready() {
		return nil
	}
	return binary.AppendUvarint(nil, a.Current().Revision())
}

// HandleAttachment compares the revision in a peer's heartbeat with the one in force here.
func (a *Adopter) HandleAttachment(from messenger.Peer, attachment []byte) {
	if len(attachment) == 0 {
		return
	}
	revision, length := binary.Uvarint(attachment)
	if length <= 0 {
		a.config.Log.WithField("peer", from.Name).Warn("configuration.malformed")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ahead == nil && revision > a.Current().Revision() {
		a.ahead = &peerAhead{
			peer:     from,
			revision: revision,
			due:      a.config.Now().Add(patience),
		}
	}
}

// Handlers returns the handler of other instances' requests, by topic.
func (a *Adopter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: a.handle,
	}
}

// handle returns the document of the configuration in force.
func (a *Adopter) handle(context.Context, messenger.Sender, []byte) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.document, nil
}

// Run takes a configuration that does not arrive from the store from another instance that has it in force, until the
// context ends. A store that was restored from a copy may have an older one until the operator has written it again.
func (a *Adopter) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if ahead := a.overdue(); ahead != nil {
				a.fetch(ctx, ahead)
			}
		}
	}
}

// overdue returns the instance that is ahead if its revision should have arrived, and forgets it.
func (a *Adopter) overdue() *peerAhead {
	a.mu.Lock()
	defer a.mu.Unlock()
	ahead := a.ahead
	if ahead == nil {
		return nil
	}
	arrived := ahead.revision <= a.Current().Revision()
	if !arrived && a.config.Now().Before(ahead.due) {
		return nil
	}
	a.ahead = nil
	if arrived {
		return nil
	}
	return ahead
}

// fetch requests the document of an instance that is ahead, and puts it in force. If that fails, a later heartbeat tells
// whom to ask next.
func (a *Adopter) fetch(ctx context.Context, ahead *peerAhead) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	document, err := a.config.Call(ctx, ahead.peer, Topic, nil)
	if err != nil {
		a.config.Log.WithFields(logrus.Fields{
			"peer":     ahead.peer.Name,
			"revision": ahead.revision,
			"error":    err,
		}).Warn("configuration.unfetched")
		return
	}
	a.install(storer.Entry{
		Key:   a.config.Key,
		Value: document,
	}, ahead.peer.Name)
}
