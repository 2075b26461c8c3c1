package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is how often an engine writes its entry.
const beatInterval = 1200 * time.Millisecond

// engine is a stand-in of one engine or instance of a plain service.
type engine struct {
	id, service, zone, address string
	slots                      int
	models                     []string
	// work is how long a request runs.
	work  time.Duration
	born  int64
	store *store
	// observe is called with the identity and the body of each request that runs; nil means nothing.
	observe func(id, body string)
	// ran, refused and running count requests.
	ran, refused, running atomic.Int64

	mu sync.Mutex
	// orders is the number of orders accepted.
	orders uint64
	writes uint64
	// fail reports whether a request that has run is answered with a failure; nil means never.
	fail func() bool
}

// newEngine starts an engine on a free port of an address.
func newEngine(s *store, host, id, service, zone string, slots int, models []string, work time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{
		id:      id,
		service: service,
		zone:    zone,
		address: listener.Addr().String(),
		slots:   slots,
		models:  models,
		work:    work,
		born:    time.Now().UnixMilli(),
		store:   s,
	}
	go func() { _ = http.Serve(listener, e) }()
	go e.loop()
	return e, nil
}

// loop writes the engine's entry.
func (e *engine) loop() {
	for {
		e.mu.Lock()
		e.writes++
		entry := e.describe()
		entry["service"], entry["address"], entry["zone"] = e.service, e.address, e.zone
		entry["version"], entry["slots"], entry["state"], entry["cold_left_ms"] = "v1", e.slots, "ready", 0
		entry["sequence"] = e.writes
		e.mu.Unlock()
		e.store.put("servers/"+e.id, entry)
		time.Sleep(beatInterval)
	}
}

// describe returns what the engine says of itself everywhere. The mutex is held.
func (e *engine) describe() map[string]any {
	said := map[string]any{"born": e.born}
	if len(e.models) == 0 {
		return said
	}
	held := []map[string]any{}
	for _, name := range e.models {
		held = append(held, map[string]any{
			"name":     name,
			"version":  1,
			"adapters": []string{},
		})
	}
	said["stage"], said["models"] = "both", held
	return said
}

// ServeHTTP answers requests, orders and questions for the report.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/buckthorngap/report":
		e.mu.Lock()
		report := e.describe()
		report["sequence"], report["busy"] = e.orders, false
		e.mu.Unlock()
		report["running"], report["queued"], report["kv_used"], report["kv_total"], report["handles"] = e.running.Load(), 0, 0, kvTokens, 0
		reply(w, http.StatusOK, report)
	case "/buckthorngap/order":
		// Every order finds another one under way.
		reply(w, http.StatusConflict, nil)
	default:
		e.serve(w, r)
	}
}

// serve runs a request, or rejects it while all places are taken.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	running := e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running-1, e.slots))
	if running > int64(e.slots) {
		e.refused.Add(1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	e.ran.Add(1)
	if e.observe != nil {
		e.observe(r.Header.Get("Request-Id"), string(body))
	}
	time.Sleep(e.work)
	if e.fails() {
		// Not-Executed would state that it has not run.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Response-Seal", "3e1b.07.5a2.600.0."+e.id)
	if len(e.models) == 0 {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "done")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "id: 1\ndata: ok\n\n")
}

// setFail sets which requests fail.
func (e *engine) setFail(fail func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fail = fail
}

// fails reports whether a request fails.
func (e *engine) fails() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fail != nil && e.fail()
}
