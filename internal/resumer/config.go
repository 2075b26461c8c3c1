package resumer

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Resumer.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Store is the platform's key-value service.
	Store *storer.Store
	// Upstreams returns the listed upstreams.
	Upstreams func() []storer.Instance
	// Confirmed returns when the store last confirmed the lists of versions.
	Confirmed func() time.Time
	// Peers returns the other live instances.
	Peers func() []messenger.Peer
	// Call sends a message.
	Call messenger.Caller
	// Now is the clock, which must include the time while the machine is suspended; nil means time.Now.
	Now func() time.Time
	// Random returns a random number below n; nil means math/rand/v2.
	Random func(n int) int
	// Log receives one line for each version that is listed or removed, and for each stream that does not go on.
	Log logrus.FieldLogger
}

func (c Config) complete() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.IntN
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}
