package evacuator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/informer"
)

// Config configures an Evacuator.
type Config struct {
	// Prefix is the prefix of the operator's entries; the rest of a key is the failure domain. Empty means that there are none.
	Prefix string
	// Changed is called after each change of a failure domain, with its state; nil means never.
	Changed func(state State)
	// Tell passes a change that this instance has read on to the others; nil means that none are passed on.
	Tell func(fact informer.Fact)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each change; nil means the standard logger.
	Log logrus.FieldLogger
}

func (c Config) complete() Config {
	if c.Changed == nil {
		c.Changed = func(State) {}
	}
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
