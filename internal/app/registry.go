package app

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Registry is a prefix of the store under which upstreams register themselves.
type Registry struct {
	// Prefix is what the keys begin with; the rest is the upstream's name.
	Prefix string
	// Decode reads one entry.
	Decode func(entry storer.Entry) (lister.Row, error)
	// Essence is what of an entry's value matters.
	Essence func(entry storer.Entry) []byte
	// Return is how long upstreams have to register again after an outage.
	Return time.Duration
}
