package forwarder

import (
	"math"
	"net/http"
	"strconv"
)

// Dialect maps the metadata of routed requests and answers to the header fields
// that an upstream uses for them.
type Dialect struct {
	// WriteRequest sets the header fields for the metadata of a request.
	WriteRequest func(header http.Header, metadata RequestMetadata)
	// ReadAnswer decodes the metadata of an answer from its header.
	ReadAnswer func(header http.Header) AnswerMetadata
	// ReservedFields lists the header fields, in canonical form, that are never accepted from callers.
	ReservedFields []string
}

// Header fields of the product's own dialect that only routed requests have.
const (
	headerTimeLeft  = "X-Time-Left"
	headerUpstream  = "X-Upstream"
	headerLastEvent = "Last-Event-Id"
)

// headerRateLimit is the header field with which an upstream states, in requests per second, what it takes
// from all instances together.
const headerRateLimit = "X-Rate-Limit"

// headerLeaving is the header field with which an upstream states that it leaves: "true".
const headerLeaving = "X-Leaving"

// OwnDialect returns the product's own dialect. It has no receipts: every answer counts as one with a
// receipt.
func OwnDialect() Dialect {
	return Dialect{
		WriteRequest:   writeOwn,
		ReadAnswer:     readOwn,
		ReservedFields: []string{headerNotRun, headerPriority, headerTeam, headerTimeLeft, headerUpstream},
	}
}

// writeOwn sets the header fields for the metadata of a request, in the product's own dialect.
func writeOwn(header http.Header, metadata RequestMetadata) {
	if metadata.Team != "" {
		header.Set(headerTeam, metadata.Team)
	}
	if metadata.TimeLeft > 0 {
		header.Set(headerTimeLeft, metadata.TimeLeft.String())
	}
	if metadata.LastEventID != "" {
		header.Set(headerLastEvent, metadata.LastEventID)
	}
	header.Set(headerUpstream, metadata.Upstream)
	header.Set(headerPriority, strconv.Itoa(metadata.Priority))
}

// readOwn decodes the metadata of an answer in the product's own dialect.
func readOwn(header http.Header) AnswerMetadata {
	metadata := AnswerMetadata{
		RequestID: header.Get(headerRequest),
		NotRun:    header.Get(headerNotRun) == "true",
		Receipt:   true,
		Leaving:   header.Get(headerLeaving) == "true",
	}
	metadata.RateLimit, metadata.RateLimited = ParseRate(header.Get(headerRateLimit))
	return metadata
}

// ParseRate decodes a rate, a decimal number that is not negative. It reports false for any other text.
func ParseRate(text string) (float64, bool) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		return 0, false
	}
	return rate, true
}
