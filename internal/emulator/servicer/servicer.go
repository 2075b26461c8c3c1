// Package servicer emulates a plain service: it answers any path, counts the
// calls per idempotency key and journals each call.
package servicer

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
)

// DefaultJournal is the default of Config.Journal.
const DefaultJournal = 50_000

// crashDowntime is how long the service is down after a crash under a deadly call.
const crashDowntime = 3 * time.Second

// Config configures a Servicer.
type Config struct {
	// Name is the service's name in the platform's list of instances.
	Name string
	// Journal is the maximum number of calls kept in the journal; zero means DefaultJournal.
	Journal int
	// Time is the duration of a call.
	Time time.Duration
}

// Sum returns the digest that Answer.Check has for a call: the first 8 bytes of a SHA-256, in hexadecimal.
func Sum(method, path string, body []byte) string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, method+" "+path+"\n")
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil)[:8])
}

// Servicer is an emulated plain service.
type Servicer struct {
	config Config
	faults *faulter.Faulter
	calls  *recorder.Recorder[Call]
	mux    *http.ServeMux

	// down is set for a while after a crash.
	down atomic.Bool

	mu sync.Mutex
	// counts maps each idempotency key to the number of calls that ran with it.
	counts  map[string]int
	leaving bool
}

// New returns a Servicer that has run no calls.
func New(config Config) *Servicer {
	config.Journal = cmp.Or(config.Journal, DefaultJournal)
	s := &Servicer{
		config: config,
		faults: faulter.New(),
		calls:  recorder.New[Call](config.Journal),
		mux:    http.NewServeMux(),
		counts: map[string]int{},
	}
	s.mux.Handle("GET /control/journal", s.calls)
	s.mux.Handle("POST /control/fault", s.faults)
	s.mux.HandleFunc("POST /control/leave", s.serveLeave)
	s.mux.HandleFunc("GET /v1/load", s.serveReport)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// Faults returns the faults that the service injects.
func (s *Servicer) Faults() *faulter.Faulter { return s.faults }

// Calls returns the journal's calls, oldest first.
func (s *Servicer) Calls() []Call { return s.calls.Entries() }

// ServeHTTP serves calls on any path, and the control paths for tests. After a crash it closes all connections for a while.
func (s *Servicer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// serveCall runs a call and adds it to the journal. Of the injected faults, Cut
// and Refuse act before the call runs, and Lost after it.
func (s *Servicer) serveCall(w http.ResponseWriter, r *http.Request) {
	s.faults.StateLimit(w.Header())
	if fault, ok := s.faults.Take(faulter.Slow); ok {
		time.Sleep(fault.Duration())
	}
	if _, ok := s.faults.Take(faulter.Cut); ok {
		panic(http.ErrAbortHandler)
	}
	if fault, ok := s.faults.Take(faulter.Refuse); ok {
		fault.StatePause(w.Header())
		refuse(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.config.Time > 0 {
		time.Sleep(s.config.Time)
	}
	if s.faults.Deadly(string(body)) {
		s.down.Store(true)
		time.AfterFunc(crashDowntime, func() { s.down.Store(false) })
		panic(http.ErrAbortHandler)
	}
	s.calls.Add(s.recordCall(r, body))
	if _, ok := s.faults.Take(faulter.Lost); ok {
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, r, body)
}

// recordCall counts a call under its idempotency key and returns its journal entry.
func (s *Servicer) recordCall(r *http.Request, body []byte) Call {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.counts[key]++
	}
	return Call{
		Request:  r.Header.Get("X-Request-Id"),
		Method:   r.Method,
		Path:     r.URL.Path,
		Key:      key,
		Body:     Sum("", "", body),
		Count:    s.counts[key],
		At:       time.Now(),
		Metadata: recorder.ReadMetadata(r),
	}
}

// writeAnswer answers a call. The fault Crossed changes the answer's request
// identity, and Fail makes its status 500.
func (s *Servicer) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("X-Request-Id")
	if _, ok := s.faults.Take(faulter.Crossed); ok {
		id = "other-" + id
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	if _, ok := s.faults.Take(faulter.Fail); ok {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_ = json.NewEncoder(w).Encode(Answer{
		Service: s.config.Name,
		Method:  r.Method,
		Path:    r.URL.Path,
		Body:    Sum("", "", body),
		Check:   Sum(r.Method, r.URL.Path, body),
	})
}

// refuse answers 503 with the header that says that the call was not run.
func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, "refused", http.StatusServiceUnavailable)
}
