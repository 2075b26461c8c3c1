package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// adapterSlots is the number of adapters that the engine may hold.
	adapterSlots = 8
	// lateness is how long after it was sent the late order is carried out.
	lateness = 12 * time.Second
	// downtime is how long the crashed engine is down, and diskLoad how long it then loads the model from its disk.
	downtime, diskLoad = 1500 * time.Millisecond, 1700 * time.Millisecond
)

// instruction is an order to the engine.
type instruction struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Precondition uint64 `json:"precondition"`
	Holder       string `json:"holder"`
	Fence        uint64 `json:"fencing_token"`
}

// orderedEngine is a model engine that carries out orders and tells what it holds. It does not check fence numbers.
type orderedEngine struct {
	id      string
	record  *Record
	site    *Site
	address string
	// late is the adapter whose next load is left unanswered and carried out late; empty if there is none.
	late string

	mu       sync.Mutex
	server   *http.Server
	born     int64
	start    int
	sequence uint64
	busy     bool
	// loaded is set while the model is loaded, and adapters are those that are.
	loaded   bool
	adapters []string
	// lateHolder is the instance that sent the late order; lateDone is closed once that was carried out or refused.
	lateHolder string
	lateDone   chan struct{}
	over       int
	served     map[string]int
}

// describe returns what the engine says of itself. The mutex is held.
func (e *orderedEngine) describe() map[string]any {
	models := []any{}
	if e.loaded {
		models = append(models, map[string]any{"name": "m1", "version": 1, "adapters": slices.Clone(e.adapters)})
	}
	return map[string]any{
		"service": "llm", "address": e.address, "zone": "z-a", "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "stage": "both",
		"models": models, "busy": e.busy, "born": e.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{"m1"}},
		"queued": 0, "running": 0, "kv_used": 0, "kv_total": 262987, "handles": 0, "coming": []string{},
	}
}

// run starts the engine with or without the model.
func (e *orderedEngine) run(withModel bool) {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fail(err)
	}
	e.mu.Lock()
	e.start++
	e.born, e.sequence, e.busy, e.loaded, e.adapters = time.Now().UnixMilli(), 0, false, withModel, nil
	e.server = &http.Server{Handler: e}
	server, start := e.server, e.start
	e.mu.Unlock()
	e.record.line("engine  starts (start %d), sequence 0", start)
	go func() { _ = server.Serve(listener) }()
	go func() {
		for writes := 1; ; writes++ {
			e.mu.Lock()
			current, entry := e.start == start && e.server != nil, e.describe()
			e.mu.Unlock()
			if !current {
				return
			}
			entry["sequence"] = writes
			data, _ := json.Marshal(entry)
			e.site.store.put("servers/"+e.id, data)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
}

// crash ends the engine and all its channels.
func (e *orderedEngine) crash() {
	e.record.line("engine  crashes")
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	_ = server.Close()
}

func (e *orderedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/buckthorngap/report":
		e.mu.Lock()
		answer := e.describe()
		answer["sequence"] = e.sequence
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	case "/buckthorngap/order":
		e.order(w, r, body)
	default:
		e.serve(w, r)
	}
}

// order answers an order, or leaves it unanswered.
func (e *orderedEngine) order(w http.ResponseWriter, r *http.Request, body []byte) {
	order := instruction{}
	if json.Unmarshal(body, &order) != nil || r.Header.Get("Expect-Instance") != e.id {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if trouble() && e.lateHolder == "" && e.late != "" && order.Adapter == e.late && order.Operation == "model_load" && order.Precondition == e.sequence {
		e.lateHolder, e.lateDone = order.Holder, make(chan struct{})
		e.record.line("engine  order %+v gets no answer; it is carried out %v later", order, lateness)
		done := e.lateDone
		e.mu.Unlock()
		time.AfterFunc(lateness, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.record.line("engine  the late order %+v arrives; sequence %d, adapters %v", order, e.sequence, e.adapters)
			e.carryOut(order)
			close(done)
		})
		<-r.Context().Done()
		return
	}
	status := e.carryOut(order)
	e.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status of the answer. The mutex is held.
func (e *orderedEngine) carryOut(order instruction) int {
	status := e.apply(order)
	e.record.line("engine  order %+v: %d; then sequence %d, model %v, adapters %v", order, status, e.sequence, e.loaded, e.adapters)
	return status
}

func (e *orderedEngine) apply(order instruction) int {
	held := e.loaded && (order.Adapter == "" || slices.Contains(e.adapters, order.Adapter))
	load := order.Operation == "model_load"
	switch {
	case held == load && !e.busy:
		return http.StatusOK
	case e.busy || order.Precondition != e.sequence || order.Adapter != "" && !e.loaded:
		return http.StatusConflict
	}
	e.sequence++
	switch {
	case order.Adapter == "" && load:
		e.busy = true
		start := e.start
		time.AfterFunc(diskLoad, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.start == start {
				e.busy, e.loaded = false, true
				e.record.line("engine  has loaded the model")
			}
		})
	case order.Adapter == "":
		e.loaded, e.adapters = false, nil
	case load:
		e.adapters = append(e.adapters, order.Adapter)
		if len(e.adapters) > adapterSlots {
			e.over = len(e.adapters)
			e.record.line("LIMIT  the engine is ordered to load adapter %s, the %dth; it holds %d at most: it crashes", order.Adapter, len(e.adapters), adapterSlots)
		}
	default:
		e.adapters = slices.DeleteFunc(e.adapters, func(name string) bool { return name == order.Adapter })
		return http.StatusOK
	}
	return http.StatusAccepted
}

// serve runs a request for an adapter that is there.
func (e *orderedEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mu.Lock()
	present := e.loaded && slices.Contains(e.adapters, adapter)
	if present {
		e.served[adapter]++
	}
	e.mu.Unlock()
	if r.Header.Get("Expect-Instance") != e.id || !present {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Server-Load", "1,0,64")
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "id: 1\ndata: piece of %s\n\n", id)
}

// fullEngineOf serves an engine with two other models that leave no room for a third one. Nobody has a reason to send it orders.
func (s *Site) fullEngineOf(number int, models ...string) {
	listener := listen(240 + number)
	id, loaded := fmt.Sprintf("i-%d", number), []any{}
	for _, name := range models {
		loaded = append(loaded, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	entry := engineEntry(listener.Addr().String())
	entry["zone"], entry["models"] = "z-b", loaded
	s.register(id, entry, make(chan struct{}))
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			request := r.Header.Get("Request-Id")
			switch {
			case r.URL.Path == "/buckthorngap/report":
				w.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": loaded, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 189649, "handles": 0})
			case r.URL.Path == "/buckthorngap/order":
				s.record.line("engine %s  unexpected order %s", id, body)
				w.WriteHeader(http.StatusConflict)
			default:
				w.Header().Set("Request-Id", request)
				w.Header().Set("Response-Seal", "seal."+request)
				w.Header().Set("Server-Load", "1,0,96")
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprintf(w, "id: 1\ndata: piece of %s\n\n", request)
			}
		}))
	}()
}

// limitCase plays an order that is carried out late, after its engine has started again under its id and after the instance that
// sent it has been killed.
func limitCase(record *Record) bool {
	site := newSite(record)
	site.fenceless = true
	config := configuration(streamRoute("chat", "/chat/", 15000, 400))
	others := []string{"m2", "m3", "m4", "m5", "m6", "m7"}
	models := []any{}
	for _, name := range append([]string{"m1"}, others...) {
		next := model(name)
		next["mb"], next["load_s"] = 34300.0, 7.8
		if name == "m1" {
			next["adapters"] = 20
		}
		models = append(models, next)
	}
	description := config["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	description["models"], description["mb"], description["slots"], description["kv_capacity_tokens"] = models, 83000.0, 96, 189649
	site.configure(config)
	for number := range 3 {
		site.fullEngineOf(number+2, others[2*number:2*number+2]...)
	}
	reserved := listen(240)
	engine := &orderedEngine{id: "i-1", record: record, site: site, address: reserved.Addr().String(), late: "a9", served: map[string]int{}}
	_ = reserved.Close()
	engine.run(true)
	fronts := map[string]*Front{}
	var names []string
	for number, zone := range []string{"z-a", "z-a", "z-a", "z-b"} {
		front := site.newFront(number+1, zone)
		fronts[front.name], names = front, append(names, front.name)
		front.start()
	}
	for _, front := range fronts {
		front.awaitReady()
	}
	stop, resume := make(chan struct{}), make(chan struct{})
	var first sync.WaitGroup
	ask := func(consumers map[string]*Consumer, turn int, model string) int {
		front := names[turn%len(names)]
		if consumers[front] == nil {
			consumers[front] = &Consumer{target: fronts[front].ip + ":8221"}
		}
		header := modelHeader(newID(), "2000")
		header["Model"] = model
		return consumers[front].send(http.MethodPost, "/chat/a", "site.example", header, []byte("q"), 3*time.Second).status
	}
	// The other models are asked for all the time.
	for number, name := range others {
		go func() {
			consumers := map[string]*Consumer{}
			for turn := number; ; turn++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				ask(consumers, turn, name)
			}
		}()
	}
	// The adapters a1 to a8 are asked for all the time, but a1 not from the moment on that the engine is full until it is empty.
	for number := 1; number <= adapterSlots; number++ {
		adapter := fmt.Sprintf("a%d", number)
		first.Add(1)
		go func() {
			consumers := map[string]*Consumer{}
			warm := false
			for turn := number; ; turn++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				if ask(consumers, turn, "m1/"+adapter) == http.StatusOK && !warm {
					warm = true
					record.line("consumers  %s is served", adapter)
					first.Done()
					if adapter == "a1" {
						<-resume
					}
				}
			}
		}()
	}
	first.Wait()
	time.Sleep(4 * time.Second)
	record.line("consumers  a9 is asked for once")
	record.line("consumers  a9 answered %d", ask(map[string]*Consumer{}, 0, "m1/a9"))
	if trouble() {
		engine.mu.Lock()
		holder, done := engine.lateHolder, engine.lateDone
		engine.mu.Unlock()
		if fronts[holder] == nil {
			fail(fmt.Errorf("no order for a9 came"))
		}
		engine.crash()
		record.line("platform  kills %s, which sent the order", holder)
		fronts[holder].kill()
		close(resume)
		time.Sleep(downtime)
		engine.run(false)
		fronts[holder].start()
		<-done
		time.Sleep(500 * time.Millisecond)
	} else {
		close(resume)
		time.Sleep(lateness)
	}
	close(stop)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	summary := fmt.Sprintf("served by adapter %v; most adapters in %d places: over by a late order: %v", engine.served, adapterSlots, engine.over > adapterSlots)
	record.line("%s", summary)
	fmt.Println(summary)
	return engine.over <= adapterSlots
}
