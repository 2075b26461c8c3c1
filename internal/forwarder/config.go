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
	// Attempts is the maximum number of attempts of a request.
	Attempts int
	// Resumes is the maximum number of times that a stream is resumed after a break.
	Resumes int
	// Dial is the timeout for connecting to an upstream.
	Dial time.Duration
	// Answer is the maximum size of an answer, in bytes. An engine's stream of events
	// is not limited by it.
	Answer int64
	// Event is the maximum size of a server-sent event or line of a stream, in bytes.
	Event int
	// Idle is the maximum number of idle connections to each upstream.
	Idle int
	// Dialect defines the header fields of routed requests; one without functions
	// means OwnDialect.
	Dialect Dialect
	// Rewind lets the transport resend a request on its own. Tests set it to prove
	// that they detect this fault.
	Rewind bool
	// Trust accepts answers with a wrong or missing request identity. Tests set it to
	// prove that they detect this fault.
	Trust bool
	// Unsealed treats every failed attempt as one that did not run, without checking its connection.
	// Tests set it to prove that they detect this fault.
	Unsealed bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each failed attempt of a routed request; nil disables it.
	Log logrus.FieldLogger
}

// Defaults of Config.
const (
	DefaultAttempts = 3
	DefaultResumes  = 2
	DefaultDial     = time.Second
	DefaultAnswer   = 16 << 20
	DefaultEvent    = 1 << 20
	DefaultIdle     = 1024
)

func (c Config) withDefaults() Config {
	c.Attempts = cmp.Or(c.Attempts, DefaultAttempts)
	c.Resumes = cmp.Or(c.Resumes, DefaultResumes)
	c.Dial = cmp.Or(c.Dial, DefaultDial)
	c.Answer = cmp.Or(c.Answer, DefaultAnswer)
	c.Event = cmp.Or(c.Event, DefaultEvent)
	c.Idle = cmp.Or(c.Idle, DefaultIdle)
	if c.Dialect.Write == nil {
		c.Dialect = OwnDialect()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
