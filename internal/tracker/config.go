package tracker

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	defaultInterval     = 500 * time.Millisecond
	defaultSuspicion    = 2 * time.Second
	defaultDeath        = 10 * time.Second
	defaultListInterval = 2 * time.Second
	defaultNeighbours   = 8
	defaultBridges      = 2
)

// Config configures a Tracker.
type Config struct {
	// Self is this instance's name, failure domain and incarnation.
	Self messenger.Sender
	// SelfPeer is the name and the address at which other instances reach this one.
	SelfPeer messenger.Peer
	// List reads the platform's list of instances, which lags behind reality. nil means that this
	// instance never reads it.
	List func(ctx context.Context) ([]storer.Instance, error)
	// Known holds configured addresses of peers by instance name. The tracker joins through them if
	// the list cannot be read.
	Known map[string]netip.AddrPort
	// Call sends a message.
	Call messenger.Caller
	// FreezeDetector detects freezes and must be running; if nil, New creates one and Run runs it.
	FreezeDetector *FreezeDetector
	// Interval is the time between heartbeats; zero means 500 ms.
	Interval time.Duration
	// Suspicion is the silence after which a member becomes suspect; zero means 2 s.
	Suspicion time.Duration
	// Death is the silence after which a member is considered dead; zero means 10 s.
	Death time.Duration
	// ListInterval is the time between two reads of the list by the readers of a domain; zero means
	// 2 s.
	ListInterval time.Duration
	// Neighbours is the number of members of this instance's own domain that it sends each
	// heartbeat to; zero means 8.
	Neighbours int
	// Bridges is the number of members of each other domain that receive a heartbeat; zero means 2.
	Bridges int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line per event; nil means the standard logger.
	Log logrus.FieldLogger
	// Attach returns the attachment of each heartbeat and answer; may be nil.
	Attach func() []byte
	// Deliver receives the attachment of a peer's heartbeat or answer; may be nil.
	Deliver func(from messenger.Peer, attachment []byte)

	// runsFreezeDetector is set if Run has to run the detector.
	runsFreezeDetector bool
}

func (c Config) complete() Config {
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.Suspicion = cmp.Or(c.Suspicion, defaultSuspicion)
	c.Death = cmp.Or(c.Death, defaultDeath)
	c.ListInterval = cmp.Or(c.ListInterval, defaultListInterval)
	c.Neighbours = cmp.Or(c.Neighbours, defaultNeighbours)
	c.Bridges = cmp.Or(c.Bridges, defaultBridges)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.FreezeDetector == nil {
		c.runsFreezeDetector = true
		c.FreezeDetector = NewFreezeDetector(FreezeDetectorConfig{
			Now: c.Now,
		})
	}
	return c
}
