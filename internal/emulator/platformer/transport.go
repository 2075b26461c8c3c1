package platformer

import (
	"io"
	"net/http"
)

// Client returns an HTTP client that calls the platform within this process,
// without a network.
func (p *Platform) Client() *http.Client {
	return &http.Client{
		Transport: &transport{
			platform: p,
		},
	}
}

// transport is an http.RoundTripper that calls the platform's handler directly.
// A handler that aborts makes the call fail with *Aborted.
type transport struct {
	platform *Platform
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	recorder := &responseRecorder{
		header: http.Header{},
		status: http.StatusOK,
	}
	defer func() {
		if failure := recover(); failure != nil {
			response, err = nil, &Aborted{}
		}
	}()
	t.platform.ServeHTTP(recorder, request.Clone(request.Context()))
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: recorder.status,
		Header:     recorder.header,
		Body:       io.NopCloser(&recorder.body),
		Request:    request,
	}, nil
}
