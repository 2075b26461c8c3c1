package operator

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/spreader"
)

// Config configures a Server.
type Config struct {
	// Spreader applies acts and withdrawals and holds the configuration in force.
	Spreader *spreader.Spreader
	// Instances returns what this instance knows about all instances; nil means that there are none to list.
	Instances func(ctx context.Context) ([]Instance, error)
	// Dump returns the state of the named instance as JSON; an empty name means this instance.
	Dump func(ctx context.Context, name string) ([]byte, error)
	// TLS must require and verify client certificates.
	TLS *tls.Config
	// Listen is the address and port on which gRPC is served.
	Listen netip.AddrPort
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives events; nil means the standard logger.
	Log *logrus.Entry
}

// maxMessageBytes limits the size of a message in both directions; exported files are the largest.
const maxMessageBytes = 64 << 20

// Instance is the last known state of one instance.
type Instance struct {
	// Name is the instance's name.
	Name string
	// Domain is its failure domain.
	Domain string
	// Address is the address on which it listens for other instances.
	Address netip.AddrPort
	// State is "alive", "suspect", "leaving" or "dead".
	State string
	// Revision is the last known configuration revision in force there.
	Revision uint64
}
