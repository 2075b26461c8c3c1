package lister

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Row is an upstream's entry in the list: its registration and its report.
type Row struct {
	// Instance is the upstream.
	Instance storer.Instance
	// Report is its reported state. Sequence is the store's revision of the entry.
	Report reporter.Report
	// Received is the time at which this instance learned of the report.
	Received time.Time
}
