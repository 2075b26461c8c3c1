package servicer

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// serveReport answers the load report, which only reports whether the service is leaving.
func (s *Servicer) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reporter.Report{
		Upstream: s.config.Name,
		At:       time.Now(),
		Leaving:  leaving,
	})
}

// serveLeave makes the service report that it is leaving. It still runs the calls that arrive.
func (s *Servicer) serveLeave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
