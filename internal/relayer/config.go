package relayer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// Config configures a Relayer.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Peers returns the other live instances of this instance's failure domain.
	Peers func() []messenger.Peer
	// Others returns the live instances of other failure domains. They are queried while the store does not answer this
	// instance; nil means none.
	Others func() []messenger.Peer
	// Cores returns the processor time that an instance may use, in cores, or zero if it is unknown. Larger instances
	// read for smaller ones. nil means that it is unknown for all.
	Cores func(instance string) float64
	// Call sends a message.
	Call messenger.Caller
	// Renewals reports whether this instance needs to know of entries that were rewritten
	// unchanged; nil means that it does.
	Renewals func() bool
	// ReadInterval is the time between two reads of the store by an instance that reads only for itself.
	// Instances that read for others read twice as often, so that the delay is the same both ways.
	ReadInterval time.Duration
	// Now is the clock, which must include the time while the machine is suspended; nil means
	// time.Now.
	Now func() time.Time
	// Log receives one line when this instance starts or stops reading for others, and for each
	// reader that fails.
	Log logrus.FieldLogger
}

func (c Config) complete() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Others == nil {
		c.Others = func() []messenger.Peer { return nil }
	}
	if c.Cores == nil {
		c.Cores = func(string) float64 { return 0 }
	}
	if c.Renewals == nil {
		c.Renewals = func() bool { return true }
	}
	return c
}
