package stager

import (
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/stager/stagerpb"
)

const (
	// demandWindow is the time constant of the decaying average of requests.
	demandWindow = 10 * time.Second
	// peerDemandTTL is how long the demand that a peer reported counts.
	peerDemandTTL = 5 * time.Second
	// announceDuration is how long a change is sent to peers: a few heartbeats.
	announceDuration = 2 * time.Second
	// minReportedRate is the rate below which the demand for a model or adapter is not sent to
	// peers, in tokens a second.
	minReportedRate = 50
)

// average is an exponentially decaying average of tokens a second, as of the last update.
type average struct {
	value   float64
	updated time.Time
}

// decayed returns the average at a time.
func (a average) decayed(now time.Time) float64 {
	return a.value * math.Exp(-now.Sub(a.updated).Seconds()/demandWindow.Seconds())
}

// demand holds the demand for models and adapters: that which this instance measures, and that
// which peers report. Adapters are counted under their own names like checkpoints.
type demand struct {
	clock func() time.Time

	mu  sync.Mutex
	own map[string]average
	// changes are the recent effects of this instance's orders, which are still sent to peers.
	changes []announcement
	peers   map[string]peerDemand
}

// peerDemand is the demand that a peer reported.
type peerDemand struct {
	received time.Time
	rates    map[string]float64
}

func newDemand(clock func() time.Time) *demand {
	return &demand{
		clock: clock,
		own:   map[string]average{},
		peers: map[string]peerDemand{},
	}
}

// add counts the tokens of a request.
func (d *demand) add(checkpoint string, tokens int64) {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own[checkpoint] = average{
		value:   d.own[checkpoint].decayed(now) + float64(max(1, tokens))/demandWindow.Seconds(),
		updated: now,
	}
}

// announcement is a change that is sent to other instances until a time.
type announcement struct {
	until  time.Time
	change *stagerpb.Change
}

// announce sends a change to other instances for announceDuration. It replaces an earlier change
// of the same engine and checkpoint.
func (d *demand) announce(change *stagerpb.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = slices.DeleteFunc(d.changes, func(a announcement) bool {
		return a.change.GetEngine() == change.GetEngine() && a.change.GetCheckpoint() == change.GetCheckpoint()
	})
	d.changes = append(d.changes, announcement{
		until:  d.clock().Add(announceDuration),
		change: change,
	})
}

// encode encodes this instance's demand and recent changes for other instances. It drops
// averages that have decayed.
func (d *demand) encode() []byte {
	now := d.clock()
	message := &stagerpb.Demand{}
	d.mu.Lock()
	for checkpoint, avg := range d.own {
		value := avg.decayed(now)
		if value < minReportedRate {
			delete(d.own, checkpoint)
			continue
		}
		message.Models = append(message.Models, &stagerpb.Model{
			Checkpoint: checkpoint,
			Rate:       value,
		})
	}
	d.changes = slices.DeleteFunc(d.changes, func(a announcement) bool { return now.After(a.until) })
	for _, a := range d.changes {
		message.Changes = append(message.Changes, a.change)
	}
	d.mu.Unlock()
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil
	}
	return encoded
}

// applyEncoded stores the demand that a peer sent, and returns the changes in the message.
func (d *demand) applyEncoded(peer string, encoded []byte) ([]*stagerpb.Change, error) {
	message := &stagerpb.Demand{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	rates := make(map[string]float64, len(message.GetModels()))
	for _, model := range message.GetModels() {
		if model.GetRate() > 0 && !math.IsInf(model.GetRate(), 0) {
			rates[model.GetCheckpoint()] = model.GetRate()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[peer] = peerDemand{
		received: d.clock(),
		rates:    rates,
	}
	return message.GetChanges(), nil
}

// rates returns the demand for each model and adapter, in tokens a second: the sum over this
// instance and the peers whose reports are recent.
func (d *demand) rates() map[string]float64 {
	now := d.clock()
	total := map[string]float64{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for checkpoint, known := range d.own {
		total[checkpoint] += known.decayed(now)
	}
	for peer, known := range d.peers {
		if now.Sub(known.received) > peerDemandTTL {
			delete(d.peers, peer)
			continue
		}
		for checkpoint, value := range known.rates {
			total[checkpoint] += value
		}
	}
	return total
}
