// Package dumper serves what operators and the platform ask of one process:
// health, readiness, metrics and a dump of its state.
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

const (
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
)

// Config is what a Dumper needs.
type Config struct {
	// Listen is the address and port for HTTP.
	Listen netip.AddrPort
	// Ready tells whether the platform's balancer may send requests here.
	Ready func() bool
	// Parts are the parts of the state dump, by name. Each returns a value
	// that can be written as JSON and holds no secrets.
	Parts map[string]func() any
	// Log receives events.
	Log *logrus.Entry
}

// Dumper serves health, readiness, metrics and state dumps over HTTP.
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
	d.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
	}
	return d
}

// Run serves until the context ends. It returns *ListenFailed if the address
// cannot be used, else the listener's error.
func (d *Dumper) Run(ctx context.Context) error {
	return serve(ctx, d.server, d.config.Listen)
}

// Dump returns the state of the process as indented JSON. If part is not
// empty, only that part is returned. The error is *UnknownPart or that of the
// encoding.
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

func (d *Dumper) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (d *Dumper) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.config.Ready() {
		http.Error(w, "unready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (d *Dumper) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

func (d *Dumper) dump(_ context.Context, request any) (any, error) {
	return d.Dump(request.(dumpRequest).part)
}
