package forwarder

import (
	"context"
	"net"
)

type dialer struct {
	dialer *net.Dialer
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	plain, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: plain,
	}, nil
}
