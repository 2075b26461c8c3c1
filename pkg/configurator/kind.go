package configurator

// Kind names a kind of record.
type Kind string

// Kinds of records.
const (
	KindTeam     Kind = "team"
	KindKey      Kind = "key"
	KindModel    Kind = "model"
	KindVersion  Kind = "version"
	KindAdapter  Kind = "adapter"
	KindBatch    Kind = "batch"
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
)
