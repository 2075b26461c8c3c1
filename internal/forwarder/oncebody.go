package forwarder

import "io"

// onceBody is a request body that can be read only once. Its type is unknown to net/http, so that the
// transport can neither rewind it to resend a request nor treat an empty body as absent.
type onceBody struct {
	data []byte
	// offset is the offset of the next byte to read.
	offset int
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if b.offset >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.offset:])
	b.offset += n
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }
