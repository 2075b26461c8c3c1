// Package runner emulates a model engine: it loads checkpoints into a limited
// memory, generates tokens at a configured pace and serves the engine protocol.
// Its answers are a function of the request, so that a client can verify them.
package runner

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// Config configures a Runner.
type Config struct {
	// Name is the engine's name in the platform's list of instances.
	Name string
	// MemoryBytes is the size of the accelerator memory, in bytes.
	MemoryBytes int64
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Fencing makes the engine refuse orders with a fencing number below the highest that it has seen.
	Fencing bool
	// FirstTokenDelay is the time to the first token of a prompt whose prefix is not cached.
	FirstTokenDelay time.Duration
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// MemoryBytesPerSecond is the speed of reads from host memory, in bytes per second; with 0, reads take no time.
	MemoryBytesPerSecond int64
	// DiskBytesPerSecond is the speed of reads from disk, in bytes per second; with 0, reads take no time.
	DiskBytesPerSecond int64
	// Cached maps checkpoints to the place where the engine has them; all others are remote.
	Cached map[string]reporter.Place
	// Fetch reads a remote checkpoint; if nil, it is read at the speed of the disk.
	Fetch func(ctx context.Context, checkpoint string, bytes int64) error
	// FetchAdapter reads an adapter; if nil, the read takes no time.
	FetchAdapter func(ctx context.Context, adapter string, bytes int64) error
	// MaxReportAge is the maximum age of a load report.
	MaxReportAge time.Duration
	// EventLag is the delay before a cache event is published.
	EventLag time.Duration
	// EventGap drops every n-th cache event; 0 drops none.
	EventGap int
	// Prefixes is the maximum number of prompt prefixes in the cache.
	Prefixes int
	// PrefixBytes is the size of the KV cache of an exported prefix, in bytes.
	PrefixBytes int64
	// Journal is the maximum number of requests kept in the journal.
	Journal int
	// Resumes is the maximum number of broken streams kept for a resume.
	Resumes int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// The defaults of Config.
const (
	DefaultMemoryBytes = 80 << 30
	DefaultSlots       = 64
	DefaultPrefixes    = 256
	DefaultJournal     = 20_000
	DefaultResumes     = 1024
)

func (c Config) withDefaults() Config {
	c.MemoryBytes = cmp.Or(c.MemoryBytes, DefaultMemoryBytes)
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.Prefixes = cmp.Or(c.Prefixes, DefaultPrefixes)
	c.Journal = cmp.Or(c.Journal, DefaultJournal)
	c.Resumes = cmp.Or(c.Resumes, DefaultResumes)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Runner is an emulated engine.
type Runner struct {
	config  Config
	faults  *faulter.Faulter
	journal *recorder.Recorder[Request]
	cache   *cache
	slots   *slotPool
	mux     *http.ServeMux

	mu     sync.Mutex
	starts int
	// startContext is cancelled when the current start of the engine ends.
	startContext context.Context
	endStart     context.CancelFunc
	copies       map[string]*modelCopy
	cached       map[string]reporter.Place
	// orders maps the ids of executed orders to the status of their answer.
	orders map[string]int
	// epoch is the highest fencing number of an order in this start; it is kept only with Config.Fencing.
	epoch uint64
	// used is the memory that the copies take, and peak its highest value so far, in bytes.
	used int64
	peak int64
	// excess is the number of loads refused because they exceeded the memory.
	excess  int
	role    string
	leaving bool
	// sequence is the number of load reports made in this start, and report the latest.
	sequence uint64
	report   reporter.Report
	// streams maps the ids of requests that run or can be resumed to the requests.
	streams map[string]*stream
	// resumable holds the ids of unfinished requests that can be resumed, oldest first.
	resumable []string
}

// New returns a Runner without loaded copies.
func New(config Config) *Runner {
	config = config.withDefaults()
	r := &Runner{
		config:  config,
		faults:  faulter.New(),
		journal: recorder.New[Request](config.Journal),
		cache:   newCache(config),
		slots:   newSlotPool(config.Slots),
		mux:     http.NewServeMux(),
		cached:  map[string]reporter.Place{},
		role:    "all",
	}
	for checkpoint, place := range config.Cached {
		r.cached[checkpoint] = place
	}
	r.reset()
	r.route()
	return r
}

func (r *Runner) route() {
	r.mux.HandleFunc("POST /v1/chat/completions", r.serveCompletion)
	r.mux.HandleFunc("POST /v1/completions", r.serveCompletion)
	r.mux.HandleFunc("GET /v1/load", r.serveReport)
	r.mux.HandleFunc("POST /v1/models/load", r.serveLoadModel)
	r.mux.HandleFunc("POST /v1/models/unload", r.serveUnloadModel)
	r.mux.HandleFunc("POST /v1/adapters/load", r.serveLoadAdapter)
	r.mux.HandleFunc("POST /v1/adapters/unload", r.serveUnloadAdapter)
	r.mux.HandleFunc("POST /v1/requests/{id}/cancel", r.serveCancel)
	r.mux.HandleFunc("GET /v1/requests/{id}/resume", r.serveResume)
	r.mux.HandleFunc("GET /v1/cache/events", r.cache.serveEvents)
	r.mux.HandleFunc("POST /v1/cache/export", r.cache.serveExport)
	r.mux.HandleFunc("POST /v1/cache/import", r.cache.serveImport)
	r.mux.HandleFunc("POST /v1/role", r.serveSetRole)
	r.mux.Handle("GET /control/journal", r.journal)
	r.mux.Handle("POST /control/fault", r.faults)
	r.mux.HandleFunc("POST /control/leave", r.serveLeave)
	r.mux.HandleFunc("POST /control/die", r.serveDie)
	r.mux.HandleFunc("GET /control/state", r.serveState)
}

// ServeHTTP serves the engine protocol, and the control paths for tests.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mux.ServeHTTP(w, request)
}

// Faults returns the faults that the engine injects.
func (r *Runner) Faults() *faulter.Faulter { return r.faults }

// Requests returns the journal's requests, in the order in which they ended.
func (r *Runner) Requests() []Request { return r.journal.Entries() }

// reset begins a new start of the engine: it cancels running requests and loads,
// and clears the copies, the orders and the fencing number. The checkpoints on
// disk, the peak memory and the number of refused loads are kept.
func (r *Runner) reset() {
	if r.endStart != nil {
		r.endStart()
	}
	r.starts++
	r.startContext, r.endStart = context.WithCancel(context.Background())
	r.copies = map[string]*modelCopy{}
	r.orders = map[string]int{}
	r.streams = map[string]*stream{}
	r.resumable = nil
	r.used = 0
	r.epoch = 0
	r.sequence = 0
	r.report = reporter.Report{}
}

// Die emulates a crash and restart: it cancels running requests and loads, and begins a new start without copies.
func (r *Runner) Die() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

func (r *Runner) serveDie(w http.ResponseWriter, _ *http.Request) {
	r.Die()
	w.WriteHeader(http.StatusNoContent)
}

// Leave makes the engine refuse new requests and report that it is leaving.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *Runner) serveLeave(w http.ResponseWriter, _ *http.Request) {
	r.Leave()
	w.WriteHeader(http.StatusNoContent)
}

// startID returns the identity of the engine's current start, which changes when the engine dies.
func (r *Runner) startID() string { return r.config.Name + "/" + strconv.Itoa(r.starts) }
