// Package parser reads and checks the settings of an instance: one file in
// JSON with comments. Every field has a default, and impossible values are
// reported with file, line and field before anything listens.
package parser

import "net/netip"

// Settings are the settings of one entry instance.
type Settings struct {
	// Name is the instance's name; its certificate must carry it.
	Name string `json:"name"`
	// Domain is the failure domain that the instance runs in.
	Domain string `json:"domain"`
	// Region is the region of the failure domain.
	Region string `json:"region"`
	// Callers is the listener for requests.
	Callers Callers `json:"callers"`
	// Peers is the listener and identity towards other instances.
	Peers Peers `json:"peers"`
	// Operators is the listener for operators' remote procedure calls.
	Operators Operators `json:"operators"`
	// Admin is the listener for health, metrics and state dumps.
	Admin Admin `json:"admin"`
	// Platform is where the platform's key-value service is.
	Platform Platform `json:"platform"`
	// Membership tunes heartbeats between instances.
	Membership Membership `json:"membership"`
	// Duties tunes leases and epochs.
	Duties Duties `json:"duties"`
	// Limits tunes how teams' rates are divided.
	Limits Limits `json:"limits"`
	// Waiting tunes the queues of requests.
	Waiting Waiting `json:"waiting"`
	// Routing tunes the choice of upstreams.
	Routing Routing `json:"routing"`
	// Loading tunes the placement of models.
	Loading Loading `json:"loading"`
	// Shutdown tunes the graceful end of the instance.
	Shutdown Shutdown `json:"shutdown"`
	// Log tunes the log.
	Log Log `json:"log"`
}

// Callers is the listener for requests.
type Callers struct {
	// Listen is the address and port for HTTP.
	Listen netip.AddrPort `json:"listen"`
	// Body is the largest request body, in bytes.
	Body int64 `json:"body"`
	// Headers is the largest request header, in bytes.
	Headers int `json:"headers"`
	// Reading is how long a caller may take to send a request.
	Reading Duration `json:"reading"`
	// Timeout is the deadline of a request that names none.
	Timeout Duration `json:"timeout"`
	// Overnight is the deadline of an overnight request that names none.
	Overnight Duration `json:"overnight"`
	// Connections is how many connections are served at once.
	Connections int `json:"connections"`
	// Tokens is the longest answer of a request that names none, in tokens.
	Tokens int64 `json:"tokens"`
}

// Identity is a certificate, its key and the authority that signs peers.
type Identity struct {
	// Certificate is the PEM file of the certificate.
	Certificate string `json:"certificate"`
	// Key is the PEM file of the private key.
	Key string `json:"key"`
	// Authority is the PEM file of the certificate authority.
	Authority string `json:"authority"`
}

// Peers is the listener and identity towards other instances.
type Peers struct {
	// Listen is the address and port for QUIC.
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the address and port that peers use; empty means Listen.
	Advertise netip.AddrPort `json:"advertise"`
	// Identity proves the instance to its peers.
	Identity Identity `json:"identity"`
	// Known are addresses of peers to ask when the platform's list cannot be read, by instance name.
	Known map[string]netip.AddrPort `json:"known"`
}

// Operators is the listener for operators' remote procedure calls. It uses
// the identity of Peers; operators need a certificate of the same authority.
type Operators struct {
	// Listen is the address and port for gRPC.
	Listen netip.AddrPort `json:"listen"`
}

// Admin is the listener for health, metrics and state dumps.
type Admin struct {
	// Listen is the address and port for HTTP.
	Listen netip.AddrPort `json:"listen"`
}

// Platform is where the platform's key-value service is.
type Platform struct {
	// URL is the base of the service's HTTP interface.
	URL string `json:"url"`
	// Timeout ends one call that is not a watch.
	Timeout Duration `json:"timeout"`
	// Reads is the instance's budget of reads a second.
	Reads float64 `json:"reads"`
	// Writes is the instance's budget of writes a second.
	Writes float64 `json:"writes"`
	// List is the interval between readings of the instance list.
	List Duration `json:"list"`
}

// Membership tunes heartbeats between instances.
type Membership struct {
	// Interval is the time between heartbeats.
	Interval Duration `json:"interval"`
	// Suspicion is the silence after which a member is suspect.
	Suspicion Duration `json:"suspicion"`
	// Death is the silence after which a member is dead and must join again.
	Death Duration `json:"death"`
	// Neighbours is the number of members of the own domain that get each heartbeat.
	Neighbours int `json:"neighbours"`
	// Bridges is the number of members of each other domain that get each heartbeat.
	Bridges int `json:"bridges"`
}

// Duties tunes leases and epochs.
type Duties struct {
	// Lease is the time to live of a duty's lease.
	Lease Duration `json:"lease"`
	// Margin is how long before the lease lapses its holder stops acting.
	Margin Duration `json:"margin"`
	// Extension is the time by which peers vouch for a holder while the store is
	// out; it should be above membership.death and twice the lease.
	Extension Duration `json:"extension"`
	// Limits is the number of limit duties in the domain.
	Limits int `json:"limits"`
	// Placements is the number of placement duties in the domain.
	Placements int `json:"placements"`
}

// Limits tunes how teams' rates are divided.
type Limits struct {
	// Mode is "loans", "equal" or "home".
	Mode string `json:"mode"`
	// Domains are all failure domains that share the teams' rates.
	Domains []string `json:"domains"`
	// Reserve is the fraction of a domain's share that stands as reserves of its instances.
	Reserve float64 `json:"reserve"`
	// Instances is the number of instances of the domain that reserves are made for.
	Instances int `json:"instances"`
	// Slack is what a team may spend beyond its burst over all instances
	// together, in tokens, where the platform tolerates that: with it a failure
	// domain's part of a small burst holds whole requests.
	Slack int64 `json:"slack"`
	// Interval is the time between demands for loans.
	Interval Duration `json:"interval"`
	// Silence is how long an instance must have been silent before what it
	// may hold of budget is given to others. It stops using that itself after half of it.
	Silence Duration `json:"silence"`
}

// Waiting tunes the queues of requests.
type Waiting struct {
	// Requests is how many requests may wait for a model.
	Requests int `json:"requests"`
	// Overnight is how many of them may be overnight requests.
	Overnight int `json:"overnight"`
}

// Routing tunes the choice of upstreams.
type Routing struct {
	// Interval is the time between load reports.
	Interval Duration `json:"interval"`
	// Running is how many requests an engine runs at once.
	Running int `json:"running"`
	// Failures is the number of consecutive failures that opens the circuit of an upstream.
	Failures int `json:"failures"`
	// Cooling is how long an open circuit stays open.
	Cooling Duration `json:"cooling"`
	// Retries is the budget of retries as a fraction of requests.
	Retries float64 `json:"retries"`
	// Answer is the largest answer that is taken from an upstream, in bytes.
	Answer int64 `json:"answer"`
	// Event is the longest event or line of a stream that is taken from an
	// upstream, in bytes.
	Event int `json:"event"`
}

// Loading tunes the placement of models.
type Loading struct {
	// Loads is the weight store's limit of loads a second over the whole fleet.
	Loads float64 `json:"loads"`
	// Slots is the weight store's limit of loads at once over the whole fleet.
	Slots int `json:"slots"`
	// Adapters is the limit of adapter loads at once over the whole fleet.
	Adapters int `json:"adapters"`
	// Idle is how long a copy stays loaded without requests under policy "age";
	// under "cost" it is the idle time that one cold start is worth.
	Idle Duration `json:"idle"`
	// Expiry is how long an order to an engine stays valid.
	Expiry Duration `json:"expiry"`
	// Policy is "cost" or "age": how copies are chosen for eviction.
	Policy string `json:"policy"`
	// Prewarm loads models ahead of the minutes of the day at which they were
	// asked for on most of the last eight days, where a cold start costs more
	// than the idle copy.
	Prewarm bool `json:"prewarm"`
}

// Shutdown tunes the graceful end of the instance.
type Shutdown struct {
	// Notice is how long the instance accepts requests after it reports unready.
	Notice Duration `json:"notice"`
	// Drain is how long running requests may take to finish.
	Drain Duration `json:"drain"`
}

// Log tunes the log.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string `json:"level"`
}
