package claimer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Claimer.
type Config struct {
	// Self identifies this instance.
	Self messenger.Sender
	// Store is the platform's key-value service.
	Store *storer.Store
	// Retention is the minimum time that a claim is kept; zero means a day.
	Retention time.Duration
	// LeaseRotation is how long new claims are attached to one lease; zero means an hour.
	LeaseRotation time.Duration
	// MaxRecentClaims is the number of claims that the local table holds; zero means 10,000.
	MaxRecentClaims int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Log receives the events; nil disables logging.
	Log logrus.FieldLogger
}
