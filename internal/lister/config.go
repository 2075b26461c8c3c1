package lister

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Lister.
type Config struct {
	// Prefix is the prefix of the entries' keys; the rest of a key is the upstream's name.
	Prefix string
	// Decode decodes one entry. An entry for which it returns an error does not count as an
	// upstream.
	Decode func(entry storer.Entry) (Row, error)
	// ReregisterGrace is how long upstreams whose entries lapsed while the store was unreachable
	// have to register again after its recovery. They stay listed meanwhile.
	ReregisterGrace time.Duration
	// GraceLimit is how long after a time at which the store was still unreachable they stay listed at most, however late its
	// recovery was noticed; zero means no limit.
	GraceLimit time.Duration
	// Changed is called with the name of each upstream that changed; it must not block.
	Changed func(upstream string)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each upstream that is added, changes, is removed or cannot be
	// decoded.
	Log logrus.FieldLogger
}
