package forwarder

import (
	"context"
	"net"

	"github.com/buckthorngap/buckthorngap/internal/connector"
)

// dialer opens connections whose writes are counted.
type dialer struct {
	connector *connector.Connector
}

// dial connects to an address and wraps the connection in a conn.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	plain, err := d.connector.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: plain,
	}, nil
}
