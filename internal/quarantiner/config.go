package quarantiner

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// Config configures a Quarantiner.
type Config struct {
	// Peers returns the other live instances.
	Peers func() []messenger.Peer
	// Joined reports whether the other live instances are known, or none can be asked; nil means always.
	Joined func() bool
	// Call sends a message.
	Call messenger.Caller
	// Down reports whether a process refuses connections at an address, as after a crash.
	Down func(ctx context.Context, address netip.AddrPort) bool
	// Changed is called after a part was quarantined, when waiting requests may have to be refused; nil means nothing.
	Changed func()
	// Now is the clock with which answers are timed, too; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each part that is suspected, quarantined or found sound.
	Log logrus.FieldLogger
}

func (c Config) complete() Config {
	if c.Changed == nil {
		c.Changed = func() {}
	}
	if c.Joined == nil {
		c.Joined = func() bool { return true }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}
