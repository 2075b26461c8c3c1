package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// adapterPlaces is how many adapters an engine holds, of the sheet of bula-dry.
	adapterPlaces = 8
	// adapterLoad is how long an engine loads an adapter, and reportLag how old the state is that it reports.
	adapterLoad = 10 * time.Millisecond
	reportLag   = 100 * time.Millisecond
	// copyShare is the share of all its answers that a faulty engine writes once more, late.
	copyShare = 0.03
)

// contents is what an engine holds at a time.
type contents struct {
	since  time.Time
	orders uint64
	// adapters are those of each model.
	adapters map[string][]string
}

// adapterEngine is a stand-in of a model engine that carries out orders for adapters.
type adapterEngine struct {
	id, address string
	record      *log.Logger
	store       *store
	// faulty reports whether the engine writes answers twice now.
	faulty func() bool

	mu sync.Mutex
	// held are the adapters with the number of their runs. Those that wait for the end of their runs are leaving.
	held    map[string]int
	leaving map[string]bool
	orders  uint64
	writes  uint64
	history []contents
	born    int64
	// ran and broken count the requests that ran and the loads without room, answers and copies the answers and their late copies.
	ran, broken, answers, copies int
}

// newAdapterEngine starts an engine on a free port of an address.
func newAdapterEngine(s *store, record *log.Logger, host, id string) (*adapterEngine, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e := &adapterEngine{
		id:      id,
		address: listener.Addr().String(),
		record:  record,
		store:   s,
		faulty:  func() bool { return false },
		held:    map[string]int{},
		leaving: map[string]bool{},
		born:    time.Now().UnixMilli(),
	}
	e.remember()
	go e.loop()
	go e.accept(listener)
	return e, nil
}

// loop writes the engine's entry.
func (e *adapterEngine) loop() {
	for {
		e.mu.Lock()
		e.writes++
		entry := e.describe(e.history[len(e.history)-1])
		entry["service"], entry["address"], entry["zone"] = "talanoa-llm", e.address, zones[0]
		entry["version"], entry["slots"], entry["state"], entry["cold_left_ms"] = "v1", modelSlots, "ready", 0
		entry["sequence"] = e.writes
		e.mu.Unlock()
		e.store.put("servers/"+e.id, entry)
		time.Sleep(beatInterval)
	}
}

// remember records what the engine holds now. The mutex is held.
func (e *adapterEngine) remember() {
	adapters := map[string][]string{}
	for name := range e.held {
		model, adapter, _ := strings.Cut(name, "/")
		adapters[model] = append(adapters[model], adapter)
	}
	e.history = append(e.history, contents{
		since:    time.Now(),
		orders:   e.orders,
		adapters: adapters,
	})
}

// describe returns what the engine says of itself.
func (e *adapterEngine) describe(c contents) map[string]any {
	models := []map[string]any{}
	for _, name := range []string{"m0", "m2"} {
		models = append(models, map[string]any{
			"name":     name,
			"version":  1,
			"adapters": append([]string{}, c.adapters[name]...),
		})
	}
	return map[string]any{"born": e.born, "stage": "both", "busy": false, "models": models}
}

// accept serves the channels.
func (e *adapterEngine) accept(listener net.Listener) {
	for {
		channel, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serve(channel)
	}
}

// serve answers the requests of a channel. The late copy of an answer is written where the next one is expected.
func (e *adapterEngine) serve(channel net.Conn) {
	defer func() { _ = channel.Close() }()
	reader := bufio.NewReader(channel)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != "" {
			e.record.Printf("%s %s writes once more, late: %.20q", time.Now().Format("05.000"), e.id, late)
			_, _ = io.WriteString(channel, late)
			late = ""
		}
		answer := e.answer(channel, request, body)
		if _, err := io.WriteString(channel, answer); err != nil {
			return
		}
		if e.writesAgain(request.URL.Path == "/buckthorngap/report") {
			late = answer
		}
	}
}

// answer returns the answer to a request, or writes it and returns nothing if it is a stream.
func (e *adapterEngine) answer(channel net.Conn, request *http.Request, body []byte) string {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	switch request.URL.Path {
	case "/buckthorngap/report":
		return e.report()
	case "/buckthorngap/order":
		status := e.order(body)
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	default:
		return e.run(channel, request)
	}
}

// report returns the state as of reportLag ago.
func (e *adapterEngine) report() string {
	e.mu.Lock()
	first := 0
	for i, c := range e.history {
		if time.Since(c.since) >= reportLag {
			first = i
		}
	}
	e.history = e.history[first:]
	said := e.describe(e.history[0])
	said["sequence"] = e.history[0].orders
	e.mu.Unlock()
	encoded, _ := json.Marshal(said)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(encoded), encoded)
}

// order carries out an order and returns the status of the answer.
func (e *adapterEngine) order(body []byte) int {
	var o struct {
		Operation    string  `json:"operation"`
		Model        string  `json:"model"`
		Adapter      string  `json:"adapter"`
		Precondition *uint64 `json:"precondition"`
		Holder       string  `json:"holder"`
		Fence        uint64  `json:"fencing_token"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Adapter == "" || o.Precondition != nil && *o.Precondition != e.orders {
		return http.StatusConflict
	}
	status := e.change(o.Operation == "model_load", o.Model+"/"+o.Adapter)
	e.record.Printf("%s %s %s %s by %s, fence %d, precondition %d: %d, holds %d", time.Now().Format("05.000"), e.id, o.Operation, o.Model+"/"+o.Adapter, o.Holder, o.Fence, *o.Precondition, status, len(e.held))
	return status
}

// change loads or unloads an adapter and returns the status of the answer. The mutex is held.
func (e *adapterEngine) change(load bool, name string) int {
	runs, held := e.held[name]
	switch {
	case load == held && !e.leaving[name]:
		return http.StatusOK
	case load:
		if len(e.held) >= adapterPlaces {
			e.broken++
			e.record.Printf("%s %s is ordered to load %s into %d places that are taken", time.Now().Format("05.000"), e.id, name, len(e.held))
		}
		delete(e.leaving, name)
		e.held[name] = runs
	case runs > 0:
		e.leaving[name] = true
		e.orders++
		e.remember()
		return http.StatusAccepted
	default:
		delete(e.held, name)
		e.orders++
		e.remember()
		return http.StatusOK
	}
	e.orders++
	e.remember()
	return http.StatusAccepted
}

// begin takes an adapter for a run, or returns the status of the refusal.
func (e *adapterEngine) begin(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.held[name]; !held {
		return http.StatusMisdirectedRequest
	}
	if e.leaving[name] {
		return http.StatusServiceUnavailable
	}
	e.held[name]++
	e.ran++
	return 0
}

// end ends a run.
func (e *adapterEngine) end(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[name]--; e.held[name] == 0 && e.leaving[name] {
		delete(e.held, name)
		delete(e.leaving, name)
		e.remember()
	}
}

// run streams the events of a request, or returns a refusal.
func (e *adapterEngine) run(channel net.Conn, request *http.Request) string {
	adapter := request.Header.Get("Model")
	head := "Request-Id: " + request.Header.Get("Request-Id") + "\r\n"
	if status := e.begin(adapter); status != 0 {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), head)
	}
	defer e.end(adapter)
	time.Sleep(adapterLoad)
	_, err := io.WriteString(channel, "HTTP/1.1 200 OK\r\n"+head+"Response-Seal: 3e1b.07.5a2.600.0."+e.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	events := 5 + rand.IntN(40)
	for number := 1; err == nil && number <= events; number++ {
		event := fmt.Sprintf("id: %d\ndata: ok\n\n", number)
		_, err = fmt.Fprintf(channel, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(25 * time.Millisecond)
	}
	_, _ = io.WriteString(channel, "0\r\n\r\n")
	return ""
}

// writesAgain counts an answer, and reports whether it is written once more: a report, while the engine is faulty and copies are a
// share of copyShare of all its answers at most.
func (e *adapterEngine) writesAgain(report bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	if !report || !e.faulty() || float64(e.copies+1) > copyShare*float64(e.answers) {
		return false
	}
	e.copies++
	return true
}
