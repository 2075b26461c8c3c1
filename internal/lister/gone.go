package lister

import "time"

const (
	// maxCopyAge is the largest expected age of a copy from which the store is restored.
	maxCopyAge = time.Minute
	// maxGone limits the number of removed upstreams whose rows are kept.
	maxGone = 4096
)

// goneRow is the last row of an upstream that was removed.
type goneRow struct {
	row Row
	// until is the time until which the row is kept.
	until time.Time
}
