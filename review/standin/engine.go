package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// modelName is the model that engines hold unless the case says otherwise.
	modelName = "daka510000"
	// modelService is the service of the model engines, and plainService that of plain servers.
	modelService = "llm"
	plainService = "desk"
	// engineSlots is the number of requests that an engine runs at once.
	engineSlots = 64
	// adapterSlots is the number of adapters that an engine holds at once.
	adapterSlots = 8
	// adapterTime is how long an engine takes to load an adapter.
	adapterTime = 10 * time.Millisecond
	// reportLag is the age of what an engine's report shows.
	reportLag = 300 * time.Millisecond
)

// engineState is what an engine's report and entry show.
type engineState struct {
	at       time.Time
	adapters []string
	coming   []string
	sequence uint64
}

// engine is a stand-in for a model engine, or for a server of the plain service.
type engine struct {
	site    *site
	id      string
	zone    string
	version string
	service string
	// model is the model that the engine holds; empty means modelName.
	model  string
	host   string
	born   time.Time
	random *rand.Rand
	// lateShare is the share of the orders that are left unanswered and carried out later.
	lateShare func() float64
	// answer serves a request that the engine accepts.
	answer func(e *engine, w http.ResponseWriter, r *http.Request)
	// refuse may turn a request away before anything else; it reports whether it did.
	refuse func(e *engine, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	address  string
	server   *http.Server
	silent   bool
	state    string
	adapters map[string]bool
	coming   map[string]bool
	leaving  string
	running  map[string]int
	load     int
	sequence uint64
	fence    uint64
	past     []engineState
	beats    uint64
	// overfilled describes the order that exceeded the engine's room; empty if there was none.
	overfilled string
}

// addEngine starts an engine that registers itself in the store.
func (s *site) addEngine(e *engine) error {
	e.site = s
	e.born = time.Now()
	e.state = "ready"
	e.model = cmp.Or(e.model, modelName)
	e.adapters, e.coming, e.running = map[string]bool{}, map[string]bool{}, map[string]int{}
	if e.host == "" {
		e.host = s.network + ".200"
	}
	listener, err := net.Listen("tcp", e.host+":0")
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{
		Handler: e,
	}
	e.keep()
	go func() { _ = e.server.Serve(listener) }()
	go e.loop()
	return nil
}

// loop writes the engine's entry at each heartbeat.
func (e *engine) loop() {
	for {
		e.beat()
		time.Sleep(heartbeat)
	}
}

// beat writes the engine's entry, unless the engine does not reach the store.
func (e *engine) beat() {
	e.mu.Lock()
	if e.silent {
		e.mu.Unlock()
		return
	}
	e.beats++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": engineSlots, "state": e.state,
		"cold_left_ms": 0, "sequence": e.beats, "born": e.born.UnixMilli(),
	}
	if e.service == modelService {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": e.model, "version": 1, "adapters": keys(e.adapters)}}
		entry["at_hand"] = map[string]any{"in_memory": []string{e.model}, "on_disk": []string{e.model}}
	}
	e.mu.Unlock()
	e.site.store.put("servers/"+e.id, entry)
}

// keep records the state for later reports. The mutex is held, or the engine has not started yet.
func (e *engine) keep() {
	e.past = append(e.past, engineState{
		at:       time.Now(),
		adapters: keys(e.adapters),
		coming:   keys(e.coming),
		sequence: e.sequence,
	})
	e.past = e.past[max(0, len(e.past)-256):]
}

// reported returns the state that a report shows now.
func (e *engine) reported() engineState {
	shown := e.past[0]
	for _, state := range e.past {
		if time.Since(state.at) >= reportLag {
			shown = state
		}
	}
	return shown
}

// ServeHTTP serves requests, orders and reports.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Instance-Id", e.id)
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/buckthorngap/order":
		e.serveOrder(w, body)
	case "/buckthorngap/report":
		e.serveReport(w)
	case "/health":
		w.WriteHeader(http.StatusOK)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	state := e.reported()
	load := e.load
	e.mu.Unlock()
	coming := make([]string, len(state.coming))
	for i, adapter := range state.coming {
		coming[i] = e.model + "/" + adapter + "@1"
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "busy": false, "sequence": state.sequence, "queued": 0, "running": load, "kv_used": 0, "kv_total": 255614,
		"handles": 0, "born": e.born.UnixMilli(), "coming": coming,
		"models":  []map[string]any{{"name": e.model, "version": 1, "adapters": state.adapters}},
		"at_hand": map[string]any{"in_memory": []string{e.model}, "on_disk": []string{e.model}},
	})
}

// order is the body of an order.
type order struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Precondition *uint64 `json:"precondition"`
	Holder       string  `json:"holder"`
	Fence        uint64  `json:"fencing_token"`
}

func (o order) String() string {
	sequence := "none"
	if o.Precondition != nil {
		sequence = strconv.FormatUint(*o.Precondition, 10)
	}
	return fmt.Sprintf("%s %s/%s precondition %s holder %s fence %d", o.Operation, o.Model, o.Adapter, sequence, o.Holder, o.Fence)
}

func (e *engine) serveOrder(w http.ResponseWriter, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.lateShare != nil && e.random.Float64() < e.lateShare() {
		delay := 2*time.Second + time.Duration(e.random.Float64()*float64(10*time.Second))
		e.site.record.line("%s leaves unanswered, to be carried out in %.1f s: %v", e.id, delay.Seconds(), o)
		time.AfterFunc(delay, func() { e.carryOut(o, "late ") })
		time.Sleep(time.Second)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.carryOut(o, ""))
}

// carryOut checks and carries out an order and returns the status of the answer to it.
func (e *engine) carryOut(o order, how string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status, note := e.check(o)
	e.site.record.line("%s %sorder %v: %d%s, sequence %d, %d adapters and %d coming", e.id, how, o, status, note, e.sequence, len(e.adapters), len(e.coming))
	return status
}

// check is carryOut without the record. The mutex is held.
func (e *engine) check(o order) (status int, note string) {
	switch {
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed, ""
	case o.Precondition != nil && *o.Precondition != e.sequence:
		return http.StatusConflict, ""
	}
	e.fence = o.Fence
	held := e.adapters[o.Adapter] || e.coming[o.Adapter]
	switch {
	case o.Adapter == "" || o.Model != e.model:
		return http.StatusOK, " (the model is there)"
	case o.Operation == "model_load" && held && e.leaving != o.Adapter, o.Operation == "model_unload" && !held:
		return http.StatusOK, " (it holds already)"
	case e.leaving != "" && o.Operation == "model_unload" && e.leaving == o.Adapter:
		return http.StatusAccepted, " (it waits already)"
	case e.leaving != "":
		return http.StatusConflict, " (another order is in progress)"
	}
	e.sequence++
	defer e.keep()
	if o.Operation == "model_unload" {
		if e.running[o.Adapter] > 0 {
			e.leaving = o.Adapter
			return http.StatusAccepted, " (it waits for its runs)"
		}
		delete(e.adapters, o.Adapter)
		return http.StatusOK, ""
	}
	if len(e.adapters)+len(e.coming) >= adapterSlots && e.overfilled == "" {
		e.overfilled = o.String()
		e.site.record.note("LIMIT: %s, which holds %d adapters of %d, is ordered: %v", e.id, len(e.adapters)+len(e.coming), adapterSlots, o)
	}
	e.coming[o.Adapter] = true
	time.AfterFunc(adapterTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.coming, o.Adapter)
		e.adapters[o.Adapter] = true
		e.keep()
	})
	return http.StatusAccepted, ""
}

// begin admits a request to the engine and returns a function that ends it, or nil after an answer that refuses it.
func (e *engine) begin(w http.ResponseWriter, r *http.Request) func() {
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case model != "" && model != e.model, adapter != "" && !e.adapters[adapter]:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	case adapter != "" && e.leaving == adapter, e.load >= engineSlots:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	e.load++
	e.running[adapter]++
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", e.load, engineSlots))
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.load--
		e.running[adapter]--
		if e.leaving != "" && e.leaving == adapter && e.running[adapter] == 0 {
			delete(e.adapters, adapter)
			e.leaving = ""
			e.keep()
		}
	}
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	if e.refuse != nil && e.refuse(e, w, r) {
		return
	}
	end := e.begin(w, r)
	if end == nil {
		return
	}
	defer end()
	w.Header().Set("Response-Seal", "seal-"+e.id+"-"+r.Header.Get("Request-Id"))
	e.answer(e, w, r)
}

// stream writes the events of a stream after the last one that the client has. Each event names the engine's version.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, events int, step time.Duration) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	controller := http.NewResponseController(w)
	for event := last + 1; event <= events; event++ {
		select {
		case <-time.After(step):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", event, e.version, r.Header.Get("Request-Id")); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// keys returns the sorted keys of a set.
func keys(set map[string]bool) []string {
	names := []string{}
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
