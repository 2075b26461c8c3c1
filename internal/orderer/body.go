package orderer

import (
	"encoding/json"
	"io"
)

// paths maps each kind of order to its path in the engine protocol.
var paths = map[Kind]string{
	Load:          "/v1/models/load",
	Unload:        "/v1/models/unload",
	LoadAdapter:   "/v1/adapters/load",
	UnloadAdapter: "/v1/adapters/unload",
	ChangeRole:    "/v1/role",
}

// body is the JSON request body of an order.
type body struct {
	Checkpoint string `json:"checkpoint,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Bytes      int64  `json:"bytes,omitempty"`
	Role       string `json:"role,omitempty"`
}

// encode returns the request body of an order.
func encode(order Order) ([]byte, error) {
	return json.Marshal(body{
		Checkpoint: order.Checkpoint,
		Adapter:    order.Adapter,
		Bytes:      order.Bytes,
		Role:       order.Role,
	})
}

// onceReader hides the type of its reader from net/http, which could otherwise
// rewind the body and resend the request.
type onceReader struct {
	io.Reader
}
