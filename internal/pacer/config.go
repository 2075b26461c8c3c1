package pacer

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a Pacer.
type Config struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each change of a limit; nil disables it.
	Log logrus.FieldLogger
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Log = silent
	}
	return c
}
