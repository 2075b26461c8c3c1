package platformer

import (
	"maps"
	"time"
)

// The control paths, which are exempt from faults and counts.
const (
	// PathCounts returns the Counts.
	PathCounts = "/control/counts"
	// PathFaults replaces the Faults.
	PathFaults = "/control/faults"
	// PathPut adds rows to the list of instances.
	PathPut = "/control/instances/put"
	// PathRemove removes rows from the list of instances by name.
	PathRemove = "/control/instances/remove"
	// PathExpire ends the lease named in a LeaseRequest.
	PathExpire = "/control/expire"
	// PathSave takes a snapshot of the store.
	PathSave = "/control/save"
	// PathRestore replaces the store's state by the snapshot.
	PathRestore = "/control/restore"
)

// Outage is the way in which calls fail during an outage.
type Outage string

// The kinds of outage.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageRefuse answers every call with 503 at once.
	OutageRefuse Outage = "refuse"
	// OutageHang leaves every call unanswered until its caller gives up.
	OutageHang Outage = "hang"
	// OutageStuck leaves the calls on connections that were used before the outage unanswered, for as long as it lasts.
	// New connections work.
	OutageStuck Outage = "stuck"
)

// aborts reports whether an outage ends the watches that wait.
func (o Outage) aborts() bool { return o == OutageRefuse || o == OutageHang }

// Faults are the faults in force.
type Faults struct {
	// Outage makes all calls fail in the given way.
	Outage Outage `json:"outage"`
	// Milliseconds is a delay added to every call.
	Milliseconds int64 `json:"milliseconds"`
	// Lost is the number of further writes that take effect although their answers are lost.
	Lost int `json:"lost"`
	// Stale makes get and list answer from the state at the time when Stale was set.
	Stale bool `json:"stale"`
	// StaleInstances freezes the list of instances as it was when this fault was set.
	StaleInstances bool `json:"staleinstances"`
}

// Counts holds the numbers of calls since the start.
type Counts struct {
	// Reads is the number of reads; a watch counts once, however long it waits.
	Reads int64 `json:"reads"`
	// Writes is the number of writes, including calls for leases.
	Writes int64 `json:"writes"`
	// Refused is the number of calls above a rate limit or during an outage.
	Refused int64 `json:"refused"`
	// Kinds maps the path of each kind of call to the number of its calls.
	Kinds map[string]int64 `json:"kinds"`
}

// maxConnections limits the number of connections that are remembered for OutageStuck.
const maxConnections = 4096

// connectionLog remembers the connections, by the caller's address, that calls came on.
type connectionLog struct {
	seen map[string]bool
	// stuck are the connections on which calls are not answered during OutageStuck.
	stuck map[string]bool
}

// add records a call's connection. It forgets all if there are too many.
func (c *connectionLog) add(remote string) {
	if c.seen == nil || len(c.seen) >= maxConnections {
		c.seen = map[string]bool{}
	}
	c.seen[remote] = true
}

// begin makes the connections seen so far stuck.
func (c *connectionLog) begin() { c.stuck = maps.Clone(c.seen) }

func toDuration(milliseconds int64) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
