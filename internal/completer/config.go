package completer

import "cmp"

// Config configures a Transport.
type Config struct {
	// HeadBytes is the maximum size of an answer's head, with those of interim answers before it, in bytes. A short line counts as 64
	// bytes.
	HeadBytes int64
}

// DefaultHeadBytes is the default of Config.HeadBytes.
const DefaultHeadBytes = 64 << 10

func (c Config) withDefaults() Config {
	c.HeadBytes = cmp.Or(c.HeadBytes, DefaultHeadBytes)
	return c
}
