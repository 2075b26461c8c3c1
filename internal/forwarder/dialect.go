package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect maps the metadata of routed requests and answers to the header fields
// that an upstream uses for them.
type Dialect struct {
	// Stamp writes the metadata of a request into its header.
	Stamp func(header http.Header, stamp Stamp)
	// Read reads the metadata of an answer from its header.
	Read func(header http.Header) Reply
	// Own lists the header fields, in canonical form, that are never accepted from callers.
	Own []string
}

// Stamp is the metadata that is sent to an upstream with a request.
type Stamp struct {
	// Team is the team of the caller; empty on open routes.
	Team string
	// Left is the time until the request's deadline; zero if there is none.
	Left time.Duration
	// Upstream is the instance that the request is addressed to.
	Upstream string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// After is the identity of the last event that the caller received; may be empty.
	After string
}

// Reply is the metadata that an upstream sends in the header of an answer.
type Reply struct {
	// Request is the identity of the answered request; empty if not stated.
	Request string
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Receipt is set if the answer carries its receipt, the field that the upstream adds to each of its
	// answers.
	Receipt bool
	// Loaded is set if the answer states Busy and Slots.
	Loaded bool
	// Busy is the number of requests that run or wait there.
	Busy int
	// Slots is the number of requests that it runs concurrently.
	Slots int
}

// Header fields of the product's own dialect that only routed requests have.
const (
	headerTimeLeft = "X-Time-Left"
	headerUpstream = "X-Upstream"
	headerAfter    = "Last-Event-Id"
)

// OwnDialect returns the product's own dialect. It has no receipts: every answer counts as one with a
// receipt.
func OwnDialect() Dialect {
	return Dialect{
		Stamp: stampOwn,
		Read:  readOwn,
		Own:   []string{headerNotRun, headerPriority, headerTeam, headerTimeLeft, headerUpstream},
	}
}

func stampOwn(header http.Header, stamp Stamp) {
	if stamp.Team != "" {
		header.Set(headerTeam, stamp.Team)
	}
	if stamp.Left > 0 {
		header.Set(headerTimeLeft, stamp.Left.String())
	}
	if stamp.After != "" {
		header.Set(headerAfter, stamp.After)
	}
	header.Set(headerUpstream, stamp.Upstream)
	header.Set(headerPriority, strconv.Itoa(stamp.Priority))
}

func readOwn(header http.Header) Reply {
	return Reply{
		Request: header.Get(headerRequest),
		NotRun:  header.Get(headerNotRun) == "true",
		Receipt: true,
	}
}
