package relayer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// Config is what a Relayer needs.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Peers are the other live instances of the own failure domain.
	Peers func() []messenger.Peer
	// Share is the processor share of an instance, and zero if it is not known:
	// larger instances read for smaller ones.
	Share func(instance string) float64
	// Call sends a message.
	Call messenger.Caller
	// Renewals tells whether this instance needs entries that say the same again.
	Renewals func() bool
	// Pause is the time between two readings of the store by an instance that
	// reads for itself alone. Those that read for others do so twice as often, so
	// that both ways are as late.
	Pause time.Duration
	// Now is the clock, which must count suspensions; nil means time.Now.
	Now func() time.Time
	// Log gets one line when an instance begins or ends to read for others, and
	// for each source that fails.
	Log logrus.FieldLogger
}

func (c Config) complete() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Share == nil {
		c.Share = func(string) float64 { return 0 }
	}
	if c.Renewals == nil {
		c.Renewals = func() bool { return true }
	}
	return c
}
