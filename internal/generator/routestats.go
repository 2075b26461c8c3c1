package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RouteStats holds the statistics of one route.
type RouteStats struct {
	// First holds the times to the first token, in microseconds.
	First *hdrhistogram.Histogram
	// Whole holds the times to the end of the answer, in microseconds.
	Whole *hdrhistogram.Histogram
	// Requests is the number of verified answers.
	Requests int64
	// Failed is the number of requests without a complete and correct answer.
	Failed int64
	// Span is the total duration of all rounds.
	Span time.Duration
	// CPUTime is the CPU time that the entry instance used during the rounds.
	CPUTime time.Duration
	// Memory is the highest resident memory of the entry instance at the end of a round, in bytes.
	Memory int64
}
