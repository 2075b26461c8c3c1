package orderer

import "io"

// onceReader hides the type of its reader from net/http, which could otherwise rewind the request body
// and resend the request.
type onceReader struct {
	io.Reader
}
