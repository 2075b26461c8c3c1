package drainer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/drainer/drainerpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	// spreadTime is how long a departure is passed on after this instance has learned it, and maxSpread limits how many are.
	spreadTime = 2 * time.Second
	maxSpread  = 64
)

// Drainer passes the departures that this instance learns on to the others.
type Drainer struct {
	config  Config
	metrics drainerMetrics

	mu sync.Mutex
	// recent are the departures that are passed on, in the order in which they were learned.
	recent []recentDeparture
}

// recentDeparture is a departure that is passed on.
type recentDeparture struct {
	departure Departure
	// observed is when an instance had the answer that told it, and learned when this instance learned it.
	observed, learned time.Time
}

// New returns a Drainer that knows no departures.
func New(config Config) *Drainer {
	return &Drainer{
		config:  config.complete(),
		metrics: newDrainerMetrics(),
	}
}

// Observe records that an answer of an upstream told that it leaves.
func (d *Drainer) Observe(departure Departure) {
	d.learn(departure, d.config.Now(), "", d.metrics.answered)
}

// learn stops new requests to an upstream and passes the departure on, unless that was done before. The peer is the instance
// that told it; empty if it was learned from an answer.
func (d *Drainer) learn(departure Departure, observed time.Time, peer string, counter *metrics.Counter) {
	if !d.config.Leave(departure) {
		return
	}
	counter.Inc()
	now := d.config.Now()
	d.config.Log.WithFields(logrus.Fields{
		"upstream": departure.Upstream,
		"start":    departure.Start,
		"address":  departure.Address,
		"peer":     peer,
		"age":      now.Sub(observed),
	}).Info("upstream.departing")
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.recent) == maxSpread {
		d.recent = append(d.recent[:0], d.recent[1:]...)
	}
	d.recent = append(d.recent, recentDeparture{
		departure: departure,
		observed:  observed,
		learned:   now,
	})
}

// Attachment returns the departures that were learned a short while ago, for a heartbeat.
func (d *Drainer) Attachment() []byte {
	now := d.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.recent) > 0 && now.Sub(d.recent[0].learned) > spreadTime {
		d.recent = d.recent[1:]
	}
	message := &drainerpb.Departures{}
	for _, recent := range d.recent {
		message.Departures = append(message.Departures, &drainerpb.Departure{
			Upstream: recent.departure.Upstream,
			Start:    recent.departure.Start,
			Address:  recent.departure.Address.String(),
			Age:      now.Sub(recent.observed).Milliseconds(),
		})
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		d.config.Log.WithError(err).Warn("departure.unencoded")
		return nil
	}
	return encoded
}

// HandleAttachment learns the departures in a peer's heartbeat.
func (d *Drainer) HandleAttachment(from messenger.Peer, attachment []byte) {
	message := &drainerpb.Departures{}
	if err := proto.Unmarshal(attachment, message); err != nil {
		d.config.Log.WithField("peer", from.Name).WithError(err).Warn("departure.malformed")
		return
	}
	now := d.config.Now()
	for _, told := range message.GetDepartures()[:min(len(message.GetDepartures()), maxSpread)] {
		age := time.Duration(told.GetAge()) * time.Millisecond
		address, err := netip.ParseAddrPort(told.GetAddress())
		if err != nil {
			d.config.Log.WithFields(logrus.Fields{
				"peer":     from.Name,
				"upstream": told.GetUpstream(),
				"error":    err,
			}).Warn("departure.malformed")
			continue
		}
		d.learn(Departure{
			Upstream: told.GetUpstream(),
			Start:    told.GetStart(),
			Address:  address,
		}, now.Add(-age), from.Name, d.metrics.told)
	}
}
