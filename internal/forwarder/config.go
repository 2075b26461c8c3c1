package forwarder

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/router"
)

// Config configures a Forwarder.
type Config struct {
	// Pick chooses another engine for a retry.
	Pick func(router.Need) (*router.Choice, bool)
	// PickService chooses another instance of a service for a retry.
	PickService func(service, pin string, exclude []string) (*router.Choice, bool)
	// Retry takes one retry from the budget and reports whether there was one left.
	Retry func() bool
	// MaxAttempts is the maximum number of attempts of a request.
	MaxAttempts int
	// MaxResumes is the maximum number of times that a stream is resumed after a break.
	MaxResumes int
	// DialTimeout is the timeout for connecting to an upstream.
	DialTimeout time.Duration
	// MaxHeadBytes is the maximum size of an answer's head, in bytes; zero means completer.DefaultHeadBytes.
	MaxHeadBytes int64
	// AnswerMemoryBytes limits the memory of all answers together that are read whole before they are delivered, in bytes. The first
	// 64 KiB of each do not count.
	AnswerMemoryBytes int64
	// MaxAnswerBytes is the maximum size of an answer, in bytes. An engine's stream of events
	// is not limited by it.
	MaxAnswerBytes int64
	// MaxEventBytes is the maximum size of a server-sent event or line of a stream, in bytes.
	MaxEventBytes int
	// MaxIdleConns is the maximum number of idle connections to each upstream.
	MaxIdleConns int
	// Dialect defines the header fields of routed requests; one without functions
	// means OwnDialect.
	Dialect Dialect
	// AllowResend lets the transport resend a request on its own. Tests set it to prove
	// that they detect this fault.
	AllowResend bool
	// AcceptAnyIdentity accepts answers with a wrong or missing request identity. Tests set it to
	// prove that they detect this fault.
	AcceptAnyIdentity bool
	// AssumeUnsent treats every failed attempt as one that did not run, without checking its connection.
	// Tests set it to prove that they detect this fault.
	AssumeUnsent bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each failed attempt of a routed request; nil disables it.
	Log logrus.FieldLogger
}

// Defaults of Config.
const (
	DefaultMaxAttempts    = 3
	DefaultMaxResumes     = 2
	DefaultDialTimeout    = time.Second
	DefaultMaxAnswerBytes = 16 << 20
	// DefaultAnswerMemoryBytes is the default of AnswerMemoryBytes.
	DefaultAnswerMemoryBytes = 32 << 20
	DefaultMaxEventBytes     = 1 << 20
	DefaultMaxIdleConns      = 1024
)

func (c Config) withDefaults() Config {
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.MaxResumes = cmp.Or(c.MaxResumes, DefaultMaxResumes)
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	c.AnswerMemoryBytes = cmp.Or(c.AnswerMemoryBytes, DefaultAnswerMemoryBytes)
	c.MaxEventBytes = cmp.Or(c.MaxEventBytes, DefaultMaxEventBytes)
	c.MaxIdleConns = cmp.Or(c.MaxIdleConns, DefaultMaxIdleConns)
	if c.Dialect.WriteRequest == nil {
		c.Dialect = OwnDialect()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
