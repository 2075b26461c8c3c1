package completer

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport whose answers are whole.
type Transport struct {
	*http.Transport
}

// New returns a Transport over another one, which must not be used before or beside it.
func New(base *http.Transport, config Config) *Transport {
	config = config.withDefaults()
	if base.DialContext == nil {
		base.DialContext = (&net.Dialer{}).DialContext
	}
	base.DialContext = Wrap(base.DialContext, config.HeadBytes)
	base.MaxResponseHeaderBytes = config.HeadBytes + 1 // so that the error is that of Conn
	return &Transport{
		Transport: base,
	}
}

// RoundTrip implements http.RoundTripper. It returns *NoStatus for an answer without a valid status, and *HeadTooLarge for one whose
// head exceeds Config.HeadBytes. The body of an answer
// without a length ends with io.ErrUnexpectedEOF if the connection ended before the request was written completely.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	sent := &exchange{}
	ctx := request.Context()
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, sent.trace())))
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		_ = response.Body.Close()
		return nil, &NoStatus{
			Status: response.StatusCode,
		}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		response.Body = &body{
			ReadCloser: response.Body,
			ctx:        ctx,
			exchange:   sent,
		}
	}
	return response, nil
}

// maxStatus is the largest status of an answer.
const maxStatus = 599
