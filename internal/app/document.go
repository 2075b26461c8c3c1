package app

import (
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Document is an entry of the store that others write.
type Document struct {
	// Key is the entry's key.
	Key string
	// Decode reads the entry.
	Decode func(entry storer.Entry) (*configurator.Snapshot, error)
}
