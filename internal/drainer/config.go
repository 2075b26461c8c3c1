package drainer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/informer"
)

// Config configures a Drainer.
type Config struct {
	// Leave stops new requests to an upstream. It returns false if the start of the upstream is not listed, or is known to
	// leave.
	Leave func(departure Departure) bool
	// Tell passes a departure that this instance has observed on to the others; nil means that none are passed on.
	Tell func(fact informer.Fact)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each departure that this instance learns; nil means the standard logger.
	Log logrus.FieldLogger
}

func (c Config) complete() Config {
	if c.Tell == nil {
		c.Tell = func(informer.Fact) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}
