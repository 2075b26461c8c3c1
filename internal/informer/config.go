package informer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures an Informer.
type Config struct {
	// Learn holds, for each kind of facts, the function that applies one which the named peer has told. It reports whether the
	// fact was new to this instance. Facts of other kinds, which later builds tell, are ignored.
	Learn map[Kind]func(fact Fact, peer string) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each message that cannot be decoded; nil means the standard logger.
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
