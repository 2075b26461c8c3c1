package app

import (
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Document describes the store entry from which the configuration is read. The platform's operator
// writes it.
type Document struct {
	// Key is the entry's key.
	Key string
	// Decode decodes the entry's value.
	Decode func(entry storer.Entry) (*configurator.Snapshot, error)
}
