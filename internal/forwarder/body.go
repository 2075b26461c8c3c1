package forwarder

import "io"

// body is a request body that the transport cannot resend. It has no means to be
// rewound, and its type is unknown to net/http, so the transport neither rewinds it
// nor treats an empty one as absent.
type body struct {
	data []byte
	// at is the offset of the next byte to read.
	at int
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.at >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.at:])
	b.at += n
	return n, nil
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }
