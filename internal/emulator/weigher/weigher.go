package weigher

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// progressInterval is the interval at which a fetch advances at the current speed.
const progressInterval = 10 * time.Millisecond

// rateWindow is the period over which the rate limit counts fetches.
const rateWindow = time.Second

// Config configures a Weigher.
type Config struct {
	// Speed is the full speed of one fetch, in bytes per second.
	Speed float64
	// Slots is the number of fetches that can run at full speed at once.
	Slots int
	// FetchesPerSecond is the number of fetches that may start within a second.
	FetchesPerSecond int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Weigher is an emulated weight store.
type Weigher struct {
	config   Config
	mutex    sync.Mutex
	running  int
	slowdown float64
	journal  Journal
}

// New returns a Weigher without fetches.
func New(config Config) *Weigher {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Weigher{
		config:   config,
		slowdown: 1,
	}
}

// Handler returns the HTTP handler: POST /v1/fetch fetches, GET /journal returns
// the journal, and POST /slow with the body {"factor"} divides the speed.
func (w *Weigher) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/fetch", w.serveFetch)
	mux.HandleFunc("GET /journal", w.serveJournal)
	mux.HandleFunc("POST /slow", w.serveSlow)
	return mux
}

// Slow divides the speed by a factor of at least one.
func (w *Weigher) Slow(factor float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slowdown = max(1, factor)
}

// Journal returns a copy of the journal.
func (w *Weigher) Journal() Journal {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	copied := w.journal
	copied.Fetches = append([]Fetch(nil), w.journal.Fetches...)
	return copied
}

// Fetch takes as long as reading the checkpoint from the store. It returns
// *RateExceeded above the rate limit, and the context's error if that ends first.
func (w *Weigher) Fetch(ctx context.Context, checkpoint string, bytes int64) error {
	index, ok := w.begin(checkpoint, bytes)
	if !ok {
		return &RateExceeded{
			Checkpoint: checkpoint,
		}
	}
	defer w.end(index)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for remaining := float64(bytes); remaining > 0; remaining -= w.speed() * progressInterval.Seconds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// begin adds a fetch to the journal and returns its index. It reports false if the rate limit refuses it.
func (w *Weigher) begin(checkpoint string, bytes int64) (int, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.config.Now()
	row := Fetch{
		Checkpoint: checkpoint,
		Bytes:      bytes,
		At:         now,
		Refused:    w.startedInWindow(now) >= w.config.FetchesPerSecond,
	}
	if row.Refused {
		row.Running = w.running
		row.Ended = now
		w.journal.Refused++
	} else {
		w.running++
		row.Running = w.running
		w.journal.Peak = max(w.journal.Peak, w.running)
	}
	w.journal.Fetches = append(w.journal.Fetches, row)
	return len(w.journal.Fetches) - 1, !row.Refused
}

// startedInWindow returns the number of fetches that started within the last rateWindow. The caller holds the lock.
func (w *Weigher) startedInWindow(now time.Time) int {
	count := 0
	for i := len(w.journal.Fetches) - 1; i >= 0; i-- {
		row := w.journal.Fetches[i]
		if now.Sub(row.At) >= rateWindow {
			break
		}
		if !row.Refused {
			count++
		}
	}
	return count
}

func (w *Weigher) end(index int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
	w.journal.Fetches[index].Ended = w.config.Now()
}

// speed returns the current speed of each fetch, in bytes per second.
func (w *Weigher) speed() float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	share := min(1, float64(w.config.Slots)/float64(max(1, w.running)))
	return w.config.Speed * share / w.slowdown
}

func (w *Weigher) serveFetch(writer http.ResponseWriter, request *http.Request) {
	var fetch Fetch
	if err := json.NewDecoder(request.Body).Decode(&fetch); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := w.Fetch(request.Context(), fetch.Checkpoint, fetch.Bytes); err != nil {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (w *Weigher) serveJournal(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(w.Journal())
}

func (w *Weigher) serveSlow(writer http.ResponseWriter, request *http.Request) {
	var fault struct {
		Factor float64 `json:"factor"`
	}
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Slow(fault.Factor)
	writer.WriteHeader(http.StatusNoContent)
}
