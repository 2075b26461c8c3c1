package platformer

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Platform. All fields are optional.
type Config struct {
	// Instances are the initial rows of the list of instances.
	Instances []storer.Instance
	// ListLag is the delay before changes show in the list of instances.
	ListLag time.Duration
	// ReadsPerSecond is the rate limit for reads, per second; zero means none.
	ReadsPerSecond float64
	// WritesPerSecond is the rate limit for writes, per second; zero means none.
	WritesPerSecond float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// expiryInterval is the interval at which a waiting watch checks for expired leases.
const expiryInterval = 20 * time.Millisecond

// Platform is the emulated platform. It is an http.Handler.
type Platform struct {
	config Config
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter
	mutex  sync.Mutex
	state  *state
	// savedState is the snapshot that Save took, or nil.
	savedState *state
	// staleState is the state that get and list read under the fault Stale, or nil.
	staleState *state
	roster     *roster
	// staleRows is the list of instances under the fault StaleInstances.
	staleRows []storer.Instance
	faults    Faults
	// connections are those that calls came on.
	connections connectionLog
	counts      Counts
	// changed is closed and replaced to make waiting watches check the state again.
	changed chan struct{}
}

// New returns a Platform with an empty store.
func New(config Config) *Platform {
	if config.Now == nil {
		config.Now = time.Now
	}
	p := &Platform{
		config:  config,
		mux:     http.NewServeMux(),
		reads:   newLimiter(config.ReadsPerSecond),
		writes:  newLimiter(config.WritesPerSecond),
		state:   newState(),
		roster:  newRoster(config.ListLag, config.Instances),
		changed: make(chan struct{}),
	}
	p.counts.Kinds = map[string]int64{}
	p.registerCalls()
	return p
}

// newLimiter returns a rate limiter with a burst of one second, or an unlimited one for zero.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// notify wakes all waiting watches. The caller holds the lock.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// reply answers a call with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// statuses maps the code of a failure to the HTTP status.
var statuses = map[string]int{
	binder.CodeAbsent:    http.StatusNotFound,
	binder.CodeConflict:  http.StatusConflict,
	binder.CodeLapsed:    http.StatusGone,
	binder.CodeTooLarge:  http.StatusRequestEntityTooLarge,
	binder.CodeBusy:      http.StatusTooManyRequests,
	binder.CodeOut:       http.StatusServiceUnavailable,
	binder.CodeMalformed: http.StatusBadRequest,
}

// fail answers a call with a failure and its HTTP status.
func fail(w http.ResponseWriter, failure *binder.Failure) { reply(w, statuses[failure.Code], failure) }
