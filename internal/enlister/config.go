package enlister

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures an Enlister.
type Config struct {
	// Name is the instance's name.
	Name string
	// Domain is its failure domain.
	Domain string
	// Address is the address at which peers reach it.
	Address netip.AddrPort
	// Cores is the processor time that the instance may use, in cores; zero if unknown.
	Cores float64
	// Store is the platform's key-value service.
	Store *storer.Store
	// Log receives one line for each registration, failure to register and failure to remove the
	// entry.
	Log logrus.FieldLogger
}
