package forwarder

import (
	"context"
	"net"
)

// dialer opens connections whose writes are counted.
type dialer struct {
	dialer *net.Dialer
}

// dial connects to an address and wraps the connection in a conn.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	plain, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: plain,
	}, nil
}
