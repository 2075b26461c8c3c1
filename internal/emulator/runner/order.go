package runner

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
)

// order is an order to load or unload a checkpoint or adapter, or to change the
// engine's role. The untagged fields come from headers.
type order struct {
	Checkpoint string `json:"checkpoint"`
	Adapter    string `json:"adapter"`
	Bytes      int64  `json:"bytes"`
	Role       string `json:"role"`

	id     string
	epoch  uint64
	expiry time.Time
}

// readOrder decodes an order from a request. It delays the order under the
// fault Late and refuses it under the fault Refuse. If it returns false, the request has been answered.
func (r *Runner) readOrder(w http.ResponseWriter, request *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	o.id = request.Header.Get("X-Order-Id")
	o.epoch, _ = strconv.ParseUint(request.Header.Get("X-Fencing-Number"), 10, 64)
	o.expiry, _ = time.Parse(time.RFC3339Nano, request.Header.Get("X-Order-Expiry"))
	if fault, ok := r.faults.Take(faulter.Late); ok {
		time.Sleep(fault.Duration())
	}
	if fault, ok := r.faults.Take(faulter.Refuse); ok {
		fault.StatePause(w.Header())
		refuse(w, request)
		return o, false
	}
	return o, true
}

// checkOrder checks an order's identity, expiry and fencing number. It returns
// the status of the answer if the order is a repeat, expired or fenced off, or 0
// if it is to be executed. The caller holds the lock.
func (r *Runner) checkOrder(o order) int {
	if status, ok := r.orders[o.id]; ok && o.id != "" {
		return status
	}
	if !o.expiry.IsZero() && r.config.Now().After(o.expiry) {
		return http.StatusGone
	}
	if r.config.Fencing {
		if o.epoch < r.epoch {
			return http.StatusConflict
		}
		r.epoch = o.epoch
	}
	return 0
}

// recordStatus records and returns the status of an order's answer, so that a
// repeat of the order gets the same answer and is not executed again. The caller holds the lock.
func (r *Runner) recordStatus(o order, status int) int {
	if o.id != "" {
		r.orders[o.id] = status
	}
	return status
}

// serveOrder reads an order, applies it unless it is refused, and answers with
// the status.
func (r *Runner) serveOrder(w http.ResponseWriter, request *http.Request, apply func(order) int) {
	if o, ok := r.readOrder(w, request); ok {
		w.WriteHeader(r.execute(o, apply))
	}
}

// execute applies an order under the lock unless checkOrder refuses it, and
// returns the status of the answer.
func (r *Runner) execute(o order, apply func(order) int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status := r.checkOrder(o); status != 0 {
		return status
	}
	return apply(o)
}

// serveSetRole carries out an order to change the engine's role.
func (r *Runner) serveSetRole(w http.ResponseWriter, request *http.Request) {
	r.serveOrder(w, request, func(o order) int {
		r.role = o.Role
		return r.recordStatus(o, http.StatusOK)
	})
}

// refuse answers 503 with the header that says that the request was not run.
func refuse(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, "refused", http.StatusServiceUnavailable)
}
