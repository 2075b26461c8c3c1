package forwarder

import (
	"net/http"

	"github.com/buckthorngap/buckthorngap/internal/completer"
	"github.com/buckthorngap/buckthorngap/internal/connector"
)

const (
	// writeBuffer and readBuffer are the buffer sizes of a connection, in bytes.
	writeBuffer = 4 << 10
	readBuffer  = 4 << 10
)

// newTransport returns an HTTP/1.1 transport without compression, whose connections
// count their writes and whose answers are whole.
func newTransport(config Config) *completer.Transport {
	d := &dialer{
		connector: connector.New(config.DialTimeout),
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return completer.New(&http.Transport{
		DialContext:         d.dial,
		Protocols:           protocols,
		DisableCompression:  true,
		MaxIdleConnsPerHost: config.MaxIdleConns,
		WriteBufferSize:     writeBuffer,
		ReadBufferSize:      readBuffer,
	}, completer.Config{
		HeadBytes: config.MaxHeadBytes,
	})
}
