package drainer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a Drainer.
type Config struct {
	// Leave stops new requests to an upstream. It returns false if the start of the upstream is not listed, or is known to
	// leave.
	Leave func(departure Departure) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each departure that this instance learns, and for each message that cannot be decoded; nil
	// means the standard logger.
	Log logrus.FieldLogger
}

func (c Config) complete() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}
