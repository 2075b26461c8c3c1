// Package parser parses and validates the settings of an instance, which are one
// file in JSON with comments. Every field has a default. Invalid values are
// reported with file, line and field before the instance opens any listener.
package parser

import "net/netip"

// Settings holds the settings of one entry instance.
type Settings struct {
	// Name is the instance's name; its certificate must be issued for this name.
	Name string `json:"name"`
	// Domain is the failure domain that the instance runs in.
	Domain string `json:"domain"`
	// Region is the region that the failure domain is in.
	Region string `json:"region"`
	// Callers configures the listener for requests.
	Callers Callers `json:"callers"`
	// Peers configures the listener for other instances and the identity shown to them.
	Peers Peers `json:"peers"`
	// Operators configures the gRPC listener for operators.
	Operators Operators `json:"operators"`
	// Admin configures the listener for health checks, metrics and state dumps.
	Admin Admin `json:"admin"`
	// Platform configures access to the platform's key-value service.
	Platform Platform `json:"platform"`
	// Membership configures heartbeats and failure detection between instances.
	Membership Membership `json:"membership"`
	// Duties configures the leases of duties.
	Duties Duties `json:"duties"`
	// Limits configures how teams' rates are divided between instances.
	Limits Limits `json:"limits"`
	// Waiting configures the queues of requests.
	Waiting Waiting `json:"waiting"`
	// Routing configures how upstreams are chosen.
	Routing Routing `json:"routing"`
	// Loading configures the placement of models on engines.
	Loading Loading `json:"loading"`
	// Shutdown configures the graceful shutdown of the instance.
	Shutdown Shutdown `json:"shutdown"`
	// Log configures logging.
	Log Log `json:"log"`
}

// Callers configures the listener for requests.
type Callers struct {
	// Listen is the address and port for HTTP.
	Listen netip.AddrPort `json:"listen"`
	// Body is the maximum size of a request body, in bytes.
	Body int64 `json:"body"`
	// Headers is the maximum size of a request's headers, in bytes.
	Headers int `json:"headers"`
	// Heads is the maximum memory of all large request headers together, in bytes; a header that is larger or has more lines than usual
	// counts.
	Heads int64 `json:"heads"`
	// Reading is how long a caller may take to send a request.
	Reading Duration `json:"reading"`
	// Timeout is the default time limit of a request.
	Timeout Duration `json:"timeout"`
	// Overnight is the default time limit of an overnight request.
	Overnight Duration `json:"overnight"`
	// Connections is the maximum number of open connections.
	Connections int `json:"connections"`
	// Tokens is the default maximum length of an answer, in tokens, for a request that states none.
	Tokens int64 `json:"tokens"`
}

// Identity names the files of a certificate, its private key and the authority that
// signs the certificates of peers.
type Identity struct {
	// Certificate is the path of the PEM file with the certificate.
	Certificate string `json:"certificate"`
	// Key is the path of the PEM file with the private key.
	Key string `json:"key"`
	// Authority is the path of the PEM file with the certificate authority.
	Authority string `json:"authority"`
}

// Peers configures the listener for other instances and the identity shown to them.
type Peers struct {
	// Listen is the address and port for QUIC.
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the address and port that peers connect to; empty means the listen address.
	Advertise netip.AddrPort `json:"advertise"`
	// Identity authenticates the instance to its peers.
	Identity Identity `json:"identity"`
	// Known maps instance names to addresses of peers to contact when the platform's list cannot be read.
	Known map[string]netip.AddrPort `json:"known"`
}

// Operators configures the gRPC listener for operators. It uses the identity of
// Peers; operators need a certificate signed by the same authority.
type Operators struct {
	// Listen is the address and port for gRPC.
	Listen netip.AddrPort `json:"listen"`
}

// Admin configures the listener for health checks, metrics and state dumps.
type Admin struct {
	// Listen is the address and port for HTTP.
	Listen netip.AddrPort `json:"listen"`
}

// Platform configures access to the platform's key-value service.
type Platform struct {
	// URL is the base URL of the service's HTTP API.
	URL string `json:"url"`
	// Timeout is the time limit of one call, other than a watch.
	Timeout Duration `json:"timeout"`
	// Reads is the instance's budget of reads per second.
	Reads float64 `json:"reads"`
	// Writes is the instance's budget of writes per second.
	Writes float64 `json:"writes"`
	// List is the interval between reads of the list of instances.
	List Duration `json:"list"`
}

// Membership configures heartbeats and failure detection between instances.
type Membership struct {
	// Interval is the time between heartbeats.
	Interval Duration `json:"interval"`
	// Suspicion is the time without a heartbeat after which a member is suspect.
	Suspicion Duration `json:"suspicion"`
	// Death is the time without a heartbeat after which a member is considered dead and must join again.
	Death Duration `json:"death"`
	// Neighbours is the number of members of the instance's own domain that each heartbeat is sent to.
	Neighbours int `json:"neighbours"`
	// Bridges is the number of members of each other domain that each heartbeat is sent to.
	Bridges int `json:"bridges"`
}

// Duties configures the leases of duties. A duty is a role that one instance holds
// at a time; the epoch of its term is the fencing token.
type Duties struct {
	// Lease is the time to live of a duty's lease.
	Lease Duration `json:"lease"`
	// Margin is how long before the expiry of its lease a holder stops acting.
	Margin Duration `json:"margin"`
	// Extension is how long peers' confirmations extend a holder's term while the
	// store is unreachable; it should be longer than membership.death and than
	// twice the lease.
	Extension Duration `json:"extension"`
	// Limits is the number of duties in the domain that divide the teams' rates.
	Limits int `json:"limits"`
	// Placements is the number of duties in the domain that place models on engines.
	Placements int `json:"placements"`
}

// Limits configures how teams' rates are divided between instances.
type Limits struct {
	// Mode is how rates are divided: "loans", "equal" or "home".
	Mode string `json:"mode"`
	// Domains lists all failure domains that share the teams' rates.
	Domains []string `json:"domains"`
	// Reserve is the fraction of a domain's share that is allocated to its instances as reserves.
	Reserve float64 `json:"reserve"`
	// Instances is the number of instances of the domain that the reserves are divided between.
	Instances int `json:"instances"`
	// Slack is the number of tokens that a team may spend beyond its burst over
	// all instances, if the platform tolerates that. It makes a failure domain's
	// share of a small burst large enough for complete requests.
	Slack int64 `json:"slack"`
	// Interval is the time between demands for loans.
	Interval Duration `json:"interval"`
	// Silence is how long an instance must have sent nothing before the budget
	// that it may hold is given to others. The instance itself stops using that
	// budget after half of this time.
	Silence Duration `json:"silence"`
}

// Waiting configures the queues of requests.
type Waiting struct {
	// Requests is the maximum number of requests that wait for a model.
	Requests int `json:"requests"`
	// Overnight is the maximum number of overnight requests among them.
	Overnight int `json:"overnight"`
}

// Routing configures how upstreams are chosen.
type Routing struct {
	// Interval is the time between load reports.
	Interval Duration `json:"interval"`
	// Running is the number of requests that an engine runs at once.
	Running int `json:"running"`
	// Failures is the number of consecutive failures that opens the circuit of an upstream.
	Failures int `json:"failures"`
	// Cooling is how long the circuit stays open.
	Cooling Duration `json:"cooling"`
	// Retries is the budget of retries as a fraction of requests.
	Retries float64 `json:"retries"`
	// Head is the maximum size of the head of an answer from an upstream, in bytes; a short line counts as 64 bytes.
	Head int64 `json:"head"`
	// Answer is the maximum size of an answer from an upstream, in bytes.
	Answer int64 `json:"answer"`
	// Answers is the maximum memory of all answers together that are read whole before they are passed on, in bytes; the first 64 KiB
	// of each do not count.
	Answers int64 `json:"answers"`
	// Event is the maximum length of an event or line of a stream from an
	// upstream, in bytes.
	Event int `json:"event"`
}

// Loading configures the placement of models on engines.
type Loading struct {
	// Loads is the weight store's limit on loads per second, over all failure domains.
	Loads float64 `json:"loads"`
	// Slots is the weight store's limit on concurrent loads, over all failure domains.
	Slots int `json:"slots"`
	// Adapters is the limit on concurrent loads of adapters, over all failure domains.
	Adapters int `json:"adapters"`
	// Idle is how long a copy stays loaded without requests under policy "age";
	// under "cost" it is the idle time that is considered as costly as one cold
	// start.
	Idle Duration `json:"idle"`
	// Expiry is how long an order to an engine stays valid.
	Expiry Duration `json:"expiry"`
	// Policy is how copies are chosen for eviction: "cost" or "age".
	Policy string `json:"policy"`
	// Prewarm enables loading models ahead of the minutes of the day at which they
	// were requested on most of the last eight days, if a cold start costs more
	// than the idle copy.
	Prewarm bool `json:"prewarm"`
}

// Shutdown configures the graceful shutdown of the instance.
type Shutdown struct {
	// Notice is how long the instance still accepts requests after it reports that it is not ready.
	Notice Duration `json:"notice"`
	// Drain is the maximum time for running requests to finish.
	Drain Duration `json:"drain"`
}

// Log configures logging.
type Log struct {
	// Level is the minimum level of log entries: "debug", "info", "warning" or "error".
	Level string `json:"level"`
}
