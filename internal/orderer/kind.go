package orderer

// Kind is the action that an order requests.
type Kind string

// The kinds of orders.
const (
	// Load loads a checkpoint.
	Load Kind = "load"
	// Unload unloads a checkpoint after its running requests have finished.
	Unload Kind = "unload"
	// LoadAdapter loads an adapter for a loaded checkpoint.
	LoadAdapter Kind = "loadadapter"
	// UnloadAdapter unloads an adapter.
	UnloadAdapter Kind = "unloadadapter"
	// ChangeRole changes the engine's role.
	ChangeRole Kind = "role"
)

// paths maps each kind of order to its URL path on engines.
var paths = map[Kind]string{
	Load:          "/v1/models/load",
	Unload:        "/v1/models/unload",
	LoadAdapter:   "/v1/adapters/load",
	UnloadAdapter: "/v1/adapters/unload",
	ChangeRole:    "/v1/role",
}
