// Package dumper serves the administrative HTTP endpoints of one process:
// health, readiness, metrics, profiles and a dump of its state as JSON.
package dumper

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/sirupsen/logrus"
)

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 30 * time.Second
)

// Config configures a Dumper.
type Config struct {
	// Listen is the address and port on which HTTP is served.
	Listen netip.AddrPort
	// Ready reports whether the platform's load balancer may send requests to this process.
	Ready func() bool
	// Parts are the parts of the state dump, by name. Each function returns a value that can be encoded as JSON and
	// contains no secrets.
	Parts map[string]func() any
	// Log receives events.
	Log *logrus.Entry
}

// Dumper serves health, readiness, metrics, profiles and state dumps over HTTP.
type Dumper struct {
	config Config
	server *http.Server
}

// New returns a Dumper that does not listen yet.
func New(config Config) *Dumper {
	d := &Dumper{
		config: config,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", d.serveHealth)
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	mux.Handle("GET /dump", kithttp.NewServer(
		d.dump,
		decodeDumpRequest,
		encodeDump,
	))
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	d.server = newServer(mux)
	return d
}

// Run serves until the context ends. It returns *ListenFailed if it cannot listen on the address, else the listener's
// error.
func (d *Dumper) Run(ctx context.Context) error {
	return serve(ctx, d.server, d.config.Listen, d.log())
}

// log returns where events are logged.
func (d *Dumper) log() logrus.FieldLogger {
	if d.config.Log == nil {
		return logrus.StandardLogger()
	}
	return d.config.Log
}

// Dump returns the state of the process as indented JSON, or only the named part of it if part is not empty. The error is
// *UnknownPart or that of the JSON encoding.
func (d *Dumper) Dump(part string) ([]byte, error) {
	state := map[string]any{}
	for name, read := range d.config.Parts {
		if part == "" || part == name {
			state[name] = read()
		}
	}
	if part != "" && len(state) == 0 {
		return nil, &UnknownPart{
			Part: part,
		}
	}
	return json.MarshalIndent(state, "", "  ")
}

// serveHealth always responds 200: a process that can answer is healthy.
func (d *Dumper) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// serveReady responds 200 if the process is ready for requests, else 503.
func (d *Dumper) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.config.Ready() {
		http.Error(w, "unready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveMetrics responds with all metrics, including those of the process, in Prometheus format.
func (d *Dumper) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

// dump is the go-kit endpoint of state dumps.
func (d *Dumper) dump(_ context.Context, request any) (any, error) {
	return d.Dump(request.(dumpRequest).part)
}
