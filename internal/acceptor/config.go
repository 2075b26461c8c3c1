package acceptor

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures an Acceptor.
type Config struct {
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// HeadMemory limits the memory of large heads together, in bytes.
	HeadMemory int64
	// FreeMemory is the memory of a head that does not count, in bytes; MaxConnections bounds the heads within it.
	FreeMemory int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives a line a second at most for what was refused; nil means the standard logger.
	Log logrus.FieldLogger
}

// Defaults of Config.
const (
	DefaultMaxConnections = 10_000
	DefaultHeadMemory     = 64 << 20
	DefaultFreeMemory     = 16 << 10
)

func (c Config) withDefaults() Config {
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.HeadMemory = cmp.Or(c.HeadMemory, DefaultHeadMemory)
	c.FreeMemory = cmp.Or(c.FreeMemory, DefaultFreeMemory)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}
