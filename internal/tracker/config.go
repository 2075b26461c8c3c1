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
	defaultInterval       = 500 * time.Millisecond
	defaultSuspectTimeout = 2 * time.Second
	defaultDeathTimeout   = 10 * time.Second
	defaultListInterval   = 2 * time.Second
	defaultNeighbours     = 8
	defaultBridges        = 2
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
	// ConfiguredPeers holds configured addresses of peers by instance name. The tracker joins through them if
	// the list cannot be read.
	ConfiguredPeers map[string]netip.AddrPort
	// Call sends a message.
	Call messenger.Caller
	// FreezeDetector detects freezes and must be running; if nil, New creates one and Run runs it.
	FreezeDetector *FreezeDetector
	// Interval is the time between heartbeats; zero means 500 ms.
	Interval time.Duration
	// SuspectTimeout is the silence after which a member becomes suspect; zero means 2 s.
	SuspectTimeout time.Duration
	// DeathTimeout is the silence after which a member is considered dead; zero means 10 s.
	DeathTimeout time.Duration
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
	// Attachments are sent with each heartbeat and answer. All instances have the same ones in the same order.
	Attachments []Attachment

	// runsFreezeDetector is set if Run has to run the detector.
	runsFreezeDetector bool
}

func (c Config) complete() Config {
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.SuspectTimeout = cmp.Or(c.SuspectTimeout, defaultSuspectTimeout)
	c.DeathTimeout = cmp.Or(c.DeathTimeout, defaultDeathTimeout)
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
