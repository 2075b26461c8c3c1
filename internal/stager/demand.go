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
	// demandMemory is the time over which requests are averaged.
	demandMemory = 10 * time.Second
	// demandAge is how long what a peer told counts.
	demandAge = 5 * time.Second
	// announcing is how long a change is told: some heartbeats.
	announcing = 2 * time.Second
	// demandLeast is the rate below which a model is not told of, in tokens a second.
	demandLeast = 50
)

// average is a decaying average of tokens a second.
type average struct {
	value float64
	at    time.Time
}

func (a average) now(now time.Time) float64 {
	return a.value * math.Exp(-now.Sub(a.at).Seconds()/demandMemory.Seconds())
}

// demand is how often models are asked for, here and at the instances that
// told of it.
type demand struct {
	clock func() time.Time

	mu  sync.Mutex
	own map[string]average
	// changes are what orders of this instance changed of late.
	changes []announced
	peers   map[string]told
}

// told is what a peer was asked for.
type told struct {
	at    time.Time
	rates map[string]float64
}

func newDemand(clock func() time.Time) *demand {
	return &demand{
		clock: clock,
		own:   map[string]average{},
		peers: map[string]told{},
	}
}

// note counts the tokens of a request.
func (d *demand) note(checkpoint string, tokens int64) {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own[checkpoint] = average{
		value: d.own[checkpoint].now(now) + float64(max(1, tokens))/demandMemory.Seconds(),
		at:    now,
	}
}

// announced is a change that other instances are told.
type announced struct {
	until  time.Time
	change *stagerpb.Change
}

// announce tells other instances of a change for a while.
func (d *demand) announce(change *stagerpb.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = slices.DeleteFunc(d.changes, func(one announced) bool {
		return one.change.GetEngine() == change.GetEngine() && one.change.GetCheckpoint() == change.GetCheckpoint()
	})
	d.changes = append(d.changes, announced{
		until:  d.clock().Add(announcing),
		change: change,
	})
}

// digest is what other instances are told.
func (d *demand) digest() []byte {
	now := d.clock()
	message := &stagerpb.Demand{}
	d.mu.Lock()
	for checkpoint, kept := range d.own {
		value := kept.now(now)
		if value < demandLeast {
			delete(d.own, checkpoint)
			continue
		}
		message.Models = append(message.Models, &stagerpb.Model{
			Checkpoint: checkpoint,
			Rate:       value,
		})
	}
	d.changes = slices.DeleteFunc(d.changes, func(one announced) bool { return now.After(one.until) })
	for _, one := range d.changes {
		message.Changes = append(message.Changes, one.change)
	}
	d.mu.Unlock()
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil
	}
	return encoded
}

// take takes what a peer told, and returns the changes.
func (d *demand) take(peer string, digest []byte) ([]*stagerpb.Change, error) {
	message := &stagerpb.Demand{}
	if err := proto.Unmarshal(digest, message); err != nil {
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
	d.peers[peer] = told{
		at:    d.clock(),
		rates: rates,
	}
	return message.GetChanges(), nil
}

// rates are the tokens a second for each model, as far as known here.
func (d *demand) rates() map[string]float64 {
	now := d.clock()
	total := map[string]float64{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for checkpoint, kept := range d.own {
		total[checkpoint] += kept.now(now)
	}
	for peer, kept := range d.peers {
		if now.Sub(kept.at) > demandAge {
			delete(d.peers, peer)
			continue
		}
		for checkpoint, value := range kept.rates {
			total[checkpoint] += value
		}
	}
	return total
}
