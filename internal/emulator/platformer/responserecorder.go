package platformer

import (
	"bytes"
	"net/http"
)

// responseRecorder is an http.ResponseWriter that keeps the response in memory.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(content []byte) (int, error) { return r.body.Write(content) }
