package configurator

import "time"

// Team is a customer. Its rate and burst limit its total spending over all
// instances.
type Team struct {
	// Name is unique.
	Name string `json:"name"`
	// Rate is the team's sustained rate limit, in tokens per second.
	Rate float64 `json:"rate"`
	// Burst is the size of the team's token bucket: the unused budget that it may
	// accumulate, in tokens.
	Burst int64 `json:"burst"`
	// Unlimited disables the team's limit; rate and burst are then ignored.
	Unlimited bool `json:"unlimited,omitempty"`
	// Charge is the cost of a routed request that does not state its tokens, in
	// tokens.
	Charge int64 `json:"charge,omitempty"`
	// Flat makes every routed request cost one, regardless of the tokens it
	// states.
	Flat bool `json:"flat,omitempty"`
	// Ranked is set if Priority takes precedence over the priority of routes.
	Ranked bool `json:"ranked,omitempty"`
	// Priority orders the team's requests against others; 0 is the highest
	// priority.
	Priority int `json:"priority,omitempty"`
	// Regions are the regions whose upstreams may get the team's requests; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// Key authenticates requests as those of a team.
type Key struct {
	// Name identifies the key to operators; it is not secret and is never reused.
	Name string `json:"name"`
	// Team is the team that the key belongs to.
	Team string `json:"team"`
	// Hash is the SHA-256 of the secret, in hexadecimal.
	Hash string `json:"hash"`
	// Batch groups keys that can be withdrawn together; may be empty.
	Batch string `json:"batch,omitempty"`
}

// Model is a language model that engines can load.
type Model struct {
	// Name is the model name that callers request.
	Name string `json:"name"`
	// Teams are the teams that may use the model; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// Version is the name of the version that serves requests.
	Version string `json:"version"`
	// Replicas is the maximum number of loaded copies in each failure domain.
	Replicas int `json:"replicas"`
	// AdapterBytes is the memory reserved for adapters with each copy, in bytes.
	AdapterBytes int64 `json:"adapterbytes,omitempty"`
	// Load is how long loading from the weight store takes.
	Load time.Duration `json:"load,omitempty"`
	// DiskLoad is how long loading from the engine's disk takes.
	DiskLoad time.Duration `json:"diskload,omitempty"`
	// MemoryLoad is how long loading from the engine's memory takes.
	MemoryLoad time.Duration `json:"memoryload,omitempty"`
	// BytesPerToken is the minimum number of prompt bytes per token.
	BytesPerToken float64 `json:"bytespertoken,omitempty"`
}

// Version is one checkpoint of a model.
type Version struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Name is unique within the model and never reused.
	Name string `json:"name"`
	// Checkpoint is the name by which engines load it.
	Checkpoint string `json:"checkpoint"`
	// Bytes is the memory that a loaded copy takes, without adapters, in bytes.
	Bytes int64 `json:"bytes"`
	// Batch groups versions that can be withdrawn together; may be empty.
	Batch string `json:"batch,omitempty"`
}

// Adapter is a small extension of a model that an engine loads together with a copy
// of the model.
type Adapter struct {
	// Name is what callers request instead of the model's name.
	Name string `json:"name"`
	// Model is the name of the model that it extends.
	Model string `json:"model"`
	// Teams are the teams that may use the adapter; empty means all teams that
	// may use the model.
	Teams []string `json:"teams,omitempty"`
	// Bytes is the memory that it takes in addition to the model's copy, in
	// bytes.
	Bytes int64 `json:"bytes"`
	// Batch groups adapters that can be withdrawn together; may be empty.
	Batch string `json:"batch,omitempty"`
}

// Batch is a group of keys, versions and adapters that can be withdrawn together.
type Batch struct {
	// Name is unique and never reused.
	Name string `json:"name"`
	// Detail describes the batch to operators.
	Detail string `json:"detail,omitempty"`
}

// Service is a plain service that requests are routed to by path.
type Service struct {
	// Name is the service's name in the platform's list.
	Name string `json:"name"`
	// Path is the path prefix of requests to the service, as in "/crates/"; empty
	// if it is reached by routes only.
	Path string `json:"path"`
	// Teams are the teams that may call it; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// Open admits callers without a key.
	Open bool `json:"open,omitempty"`
	// Once lists the HTTP methods, as in "POST", that are not idempotent: such
	// calls must not run twice.
	Once []string `json:"once,omitempty"`
	// Connections is the maximum number of connections to each of the service's
	// instances in total; zero means no limit.
	Connections int `json:"connections,omitempty"`
	// ColdRate is the number of requests per second that an instance of the service tolerates while it is cold; zero means as
	// many as ever.
	ColdRate float64 `json:"coldrate,omitempty"`
	// Engine is set if the service's instances are engines that run models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine holds the properties that all engines of a service share.
type Engine struct {
	// Models are the names of the models that the engines may load.
	Models []string `json:"models,omitempty"`
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots,omitempty"`
	// Tokens is an engine's memory for prompts and answers, in tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// Bytes is an engine's memory for models and adapters, in bytes.
	Bytes int64 `json:"bytes,omitempty"`
	// Adapters is the number of adapters that an engine holds at once.
	Adapters int `json:"adapters,omitempty"`
	// Loads is the weight store's limit on loads per second, over all engines of
	// the service.
	Loads float64 `json:"loads,omitempty"`
}

// Upstream holds properties of an upstream that the platform's list lacks and that
// operators configure.
type Upstream struct {
	// Name is the upstream's name in the platform's list.
	Name string `json:"name"`
	// Fencing is set if the upstream refuses orders with an outdated fencing
	// token.
	Fencing bool `json:"fencing"`
	// Bytes is the upstream's accelerator memory, in bytes.
	Bytes int64 `json:"bytes"`
}

// Subject is the kind of record that a withdrawal names.
type Subject string

// Kinds of records that can be withdrawn.
const (
	SubjectKey     Subject = "key"
	SubjectVersion Subject = "version"
	SubjectAdapter Subject = "adapter"
	SubjectBatch   Subject = "batch"
)

// Withdrawal permanently revokes a key, version, adapter or batch.
type Withdrawal struct {
	// Subject is the kind of the withdrawn record.
	Subject Subject `json:"subject"`
	// Name is the name of the withdrawn record; a version is written
	// "model/version".
	Name string `json:"name"`
	// At is when the operator withdrew it.
	At time.Time `json:"at"`
	// Operator is the name of the operator.
	Operator string `json:"operator"`
}
