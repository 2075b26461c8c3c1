package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect is how the product and upstreams tell each other of routed requests
// in the fields of headers.
type Dialect struct {
	// Stamp writes what an upstream is told.
	Stamp func(header http.Header, stamp Stamp)
	// Read reads what an upstream tells in its answer.
	Read func(header http.Header) Reply
	// Own are the fields, in canonical form, that are never taken from callers.
	Own []string
}

// Stamp is what an upstream is told of a request.
type Stamp struct {
	// Team is whose request it is; empty on open routes.
	Team string
	// Left is the time that is left for the answer; zero if it is not bounded.
	Left time.Duration
	// Upstream is the instance of the upstream that is meant.
	Upstream string
	// Priority is the rank of the request; 0 goes first.
	Priority int
	// After is the identity of the last event that the caller has; may be empty.
	After string
}

// Reply is what an upstream tells in the header of an answer.
type Reply struct {
	// Request is the identity of the request that is answered; empty if not told.
	Request string
	// NotRun is set if the upstream says that it did not run the request.
	NotRun bool
	// Receipt is set if the answer carries what each answer of an upstream does.
	Receipt bool
	// Loaded is set if Busy and Slots are told.
	Loaded bool
	// Busy is the number of requests that run or wait there.
	Busy int
	// Slots is the number of requests that it runs at once.
	Slots int
}

// The fields of the product's own dialect that only routed requests have.
const (
	headerLeft     = "X-Time-Left"
	headerUpstream = "X-Upstream"
	headerAfter    = "Last-Event-Id"
)

// OwnDialect returns the product's own dialect.
func OwnDialect() Dialect {
	return Dialect{
		Stamp: stampOwn,
		Read:  readOwn,
		Own:   []string{headerNotRun, headerPriority, headerTeam, headerLeft, headerUpstream},
	}
}

func stampOwn(header http.Header, stamp Stamp) {
	if stamp.Team != "" {
		header.Set(headerTeam, stamp.Team)
	}
	if stamp.Left > 0 {
		header.Set(headerLeft, stamp.Left.String())
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
