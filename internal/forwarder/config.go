package forwarder

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/router"
)

// Config is what a Forwarder needs.
type Config struct {
	// Pick chooses another engine for a retry.
	Pick func(router.Need) (*router.Choice, bool)
	// PickService chooses another instance of a service for a retry.
	PickService func(service, pin string, exclude []string) (*router.Choice, bool)
	// Retry takes one retry from the budget.
	Retry func() bool
	// Attempts is the largest number of attempts of a request.
	Attempts int
	// Resumes is the largest number of resumes of a stream.
	Resumes int
	// Dial is the time that a connection to an upstream may take.
	Dial time.Duration
	// Answer is the largest answer that is not streamed, in bytes.
	Answer int64
	// Event is the largest server-sent event, in bytes.
	Event int
	// Idle is the number of idle connections kept for each upstream.
	Idle int
	// Dialect is that of routed requests; one without functions means OwnDialect.
	Dialect Dialect
	// Rewind lets the transport send a request again by itself. Tests set it to
	// show that they notice.
	Rewind bool
	// Trust takes answers without their request identity. Tests set it to show
	// that they notice.
	Trust bool
	// Unsealed takes every failed attempt for one that did not run. Tests set it
	// to show that they notice.
	Unsealed bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log gets the events; nil means none.
	Log logrus.FieldLogger
}

// The defaults of Config.
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
	if c.Dialect.Stamp == nil {
		c.Dialect = OwnDialect()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
