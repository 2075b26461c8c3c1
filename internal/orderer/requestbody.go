package orderer

import "encoding/json"

// requestBody is the JSON request body of an order.
type requestBody struct {
	Checkpoint string `json:"checkpoint,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Bytes      int64  `json:"bytes,omitempty"`
	Role       string `json:"role,omitempty"`
}

// encode returns the JSON request body of an order.
func encode(order Order) ([]byte, error) {
	return json.Marshal(requestBody{
		Checkpoint: order.Checkpoint,
		Adapter:    order.Adapter,
		Bytes:      order.Bytes,
		Role:       order.Role,
	})
}
