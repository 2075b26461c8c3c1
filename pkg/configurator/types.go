package configurator

import "time"

// Team is a customer. Its rate and burst hold over all instances together.
type Team struct {
	// Name is unique.
	Name string `json:"name"`
	// Rate is what the team may spend for ever, in tokens a second.
	Rate float64 `json:"rate"`
	// Burst is what the team may save up, in tokens.
	Burst int64 `json:"burst"`
	// Unlimited lifts the team's limit; rate and burst do not count then.
	Unlimited bool `json:"unlimited,omitempty"`
	// Charge is what a routed request that tells no tokens is charged, in tokens.
	Charge int64 `json:"charge,omitempty"`
	// Flat charges each routed request one, whatever tokens it tells.
	Flat bool `json:"flat,omitempty"`
	// Ranked is set if Priority goes before that of routes.
	Ranked bool `json:"ranked,omitempty"`
	// Priority is the rank of the team's requests; 0 goes first.
	Priority int `json:"priority,omitempty"`
}

// Key lets its bearer call in the name of a team.
type Key struct {
	// Name identifies the key to operators; it is no secret and is never used twice.
	Name string `json:"name"`
	// Team is whose requests the key opens.
	Team string `json:"team"`
	// Hash is the SHA-256 of the secret, in hexadecimal.
	Hash string `json:"hash"`
	// Batch groups keys that may be withdrawn in one act; may be empty.
	Batch string `json:"batch,omitempty"`
}

// Model is a language model that engines can load.
type Model struct {
	// Name is what callers ask for.
	Name string `json:"name"`
	// Teams may use the model; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// Version is the version that serves requests.
	Version string `json:"version"`
	// Replicas is the largest number of loaded copies in each failure domain.
	Replicas int `json:"replicas"`
	// AdapterBytes is the memory set aside beside each copy for adapters, in bytes.
	AdapterBytes int64 `json:"adapterbytes,omitempty"`
	// Load is how long a load from the weight store takes.
	Load time.Duration `json:"load,omitempty"`
	// DiskLoad is how long a load from the engine's disk takes.
	DiskLoad time.Duration `json:"diskload,omitempty"`
	// MemoryLoad is how long a load from the engine's memory takes.
	MemoryLoad time.Duration `json:"memoryload,omitempty"`
	// BytesPerToken is the least number of prompt bytes in a token.
	BytesPerToken float64 `json:"bytespertoken,omitempty"`
}

// Version is one checkpoint of a model.
type Version struct {
	// Model is the model that it is a version of.
	Model string `json:"model"`
	// Name is unique within the model and never used twice.
	Name string `json:"name"`
	// Checkpoint is the name that engines load.
	Checkpoint string `json:"checkpoint"`
	// Bytes is the memory that a copy takes, without adapters, in bytes.
	Bytes int64 `json:"bytes"`
	// Batch groups versions that may be withdrawn in one act; may be empty.
	Batch string `json:"batch,omitempty"`
}

// Adapter is a small addition to a model, loaded beside a copy of it.
type Adapter struct {
	// Name is what callers ask for in place of the model.
	Name string `json:"name"`
	// Model is the model that it extends.
	Model string `json:"model"`
	// Teams may use the adapter; empty means all teams that may use the model.
	Teams []string `json:"teams,omitempty"`
	// Bytes is the memory that it takes beside a copy, in bytes.
	Bytes int64 `json:"bytes"`
	// Batch groups adapters that may be withdrawn in one act; may be empty.
	Batch string `json:"batch,omitempty"`
}

// Batch names a group of keys, versions and adapters.
type Batch struct {
	// Name is unique and never used twice.
	Name string `json:"name"`
	// Detail says what the batch is, for operators.
	Detail string `json:"detail,omitempty"`
}

// Service is a plain service that requests are routed to by path.
type Service struct {
	// Name is what the platform's list calls it.
	Name string `json:"name"`
	// Path is the prefix of the paths that lead to it, as in "/crates/"; empty
	// if only routes do.
	Path string `json:"path"`
	// Teams may call it; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// Open lets callers without a key through.
	Open bool `json:"open,omitempty"`
	// Once lists the methods whose calls must not run twice, as in "POST".
	Once []string `json:"once,omitempty"`
	// Connections is the number of connections that each of its instances takes
	// from all callers together; zero means no bound.
	Connections int `json:"connections,omitempty"`
	// Engine is set if its instances run models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine is what all engines of a service have in common.
type Engine struct {
	// Models are the names of the models that they may load.
	Models []string `json:"models,omitempty"`
	// Slots is the number of requests that one runs at once.
	Slots int `json:"slots,omitempty"`
	// Tokens is the memory of one for prompts and answers, in tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// Bytes is the memory of one for models and adapters, in bytes.
	Bytes int64 `json:"bytes,omitempty"`
	// Adapters is the number of adapters that one holds at once.
	Adapters int `json:"adapters,omitempty"`
	// Loads is how many loads a second the weight store allows to all together.
	Loads float64 `json:"loads,omitempty"`
}

// Upstream is what operators say of an upstream beyond the platform's list.
type Upstream struct {
	// Name is its name in the platform's list.
	Name string `json:"name"`
	// Fencing is set if it refuses orders that carry an old fencing number.
	Fencing bool `json:"fencing"`
	// Bytes is its accelerator memory, in bytes.
	Bytes int64 `json:"bytes"`
}

// Subject is the kind of thing that a withdrawal names.
type Subject string

// What can be withdrawn.
const (
	SubjectKey     Subject = "key"
	SubjectVersion Subject = "version"
	SubjectAdapter Subject = "adapter"
	SubjectBatch   Subject = "batch"
)

// Withdrawal ends a key, version, adapter or batch for ever.
type Withdrawal struct {
	// Subject is the kind of thing withdrawn.
	Subject Subject `json:"subject"`
	// Name is the thing withdrawn; a version is written "model/version".
	Name string `json:"name"`
	// At is when an operator withdrew it.
	At time.Time `json:"at"`
	// Operator is who withdrew it.
	Operator string `json:"operator"`
}
