package app

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Registry describes the store entries with which upstreams register themselves.
type Registry struct {
	// Prefix is the prefix of the keys; the rest of a key is the upstream's name.
	Prefix string
	// Decode decodes one entry.
	Decode func(entry storer.Entry) (lister.Row, error)
	// ComparedPart returns the part of an entry's value whose change counts as an update.
	ComparedPart func(entry storer.Entry) []byte
	// ReregisterGrace is how long upstreams have to register again after an outage of the store. They stay
	// listed meanwhile.
	ReregisterGrace time.Duration
	// GraceLimit is how long after a time at which the store was still unreachable they stay listed at most; zero means no limit.
	GraceLimit time.Duration
}
