package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// fullShare is the share of arrivals that the engine turns away because it is full.
	fullShare = 0.1
	// garbleShare is the share of its answers that the engine sends once more while it is garbled.
	garbleShare = 0.03
	// garbleTime and garblePause are how long the engine is garbled, and the time between two such times.
	garbleTime, garblePause = 5 * time.Second, 3 * time.Second
)

// fullEngine is a model engine that is full at times. While it is garbled, a share of its answers comes once more, late: where the
// next answer on the channel is expected.
type fullEngine struct {
	id     string
	record *Record

	mu      sync.Mutex
	garbled bool
	runs    map[string]int
	extras  int
}

func (e *fullEngine) serve(listener net.Listener) {
	for channel := 1; ; channel++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.channel(channel, conn)
	}
}

// channel serves the requests of one channel in turn.
func (e *fullEngine) channel(number int, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/buckthorngap/report" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		if request.URL.Path == "/buckthorngap/order" {
			_, _ = io.WriteString(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if extra != "" {
			_, _ = io.WriteString(conn, extra)
			extra = ""
		}
		id := request.Header.Get("Request-Id")
		e.mu.Lock()
		full := rand.Float64() < fullShare
		again := e.garbled && rand.Float64() < garbleShare
		if again {
			e.extras++
		}
		if !full {
			e.runs[id]++
		}
		run := e.runs[id]
		e.mu.Unlock()
		head := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		body := ""
		if full {
			e.record.line("engine  channel %d  %s turned away, not run", number, id)
		} else {
			e.record.line("engine  channel %d  %s runs (run %d of this request)", number, id, run)
			for event := 1; event <= 3; event++ {
				data := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", event, event, id)
				body += fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
			}
			body += "0\r\n\r\n"
			head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, head+body); err != nil {
			return
		}
		if again {
			e.record.line("engine  channel %d  the answer to %s will come once more, with the next one", number, id)
			extra = head + body
		}
	}
}

// refusalCase plays a garbled engine that is full at times: a request that must not run twice is sent again on the channel on which
// it was turned away, and the late second copy of that refusal is taken for the answer to the run.
func refusalCase(record *Record) bool {
	site := newSite(record)
	listener := listen(240)
	engine := &fullEngine{id: "i-1", record: record, runs: map[string]int{}}
	go engine.serve(listener)
	config := configuration(streamRoute("chat", "/chat/", 15000, 400))
	config["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["models"] = []any{model("m1"), model("m2")}
	site.configure(config)
	stop := make(chan struct{})
	site.register(engine.id, engineEntry(listener.Addr().String()), stop)
	// Another engine of the service, in another zone and with another model, is never garbled.
	beside := listen(241)
	go func() { _ = http.Serve(beside, &busyEngine{record: record, runs: map[string]int{}}) }()
	other := engineEntry(beside.Addr().String())
	other["zone"], other["models"] = "z-b", []any{map[string]any{"name": "m2", "version": 1, "adapters": []string{}}}
	site.register("i-2", other, stop)
	front := site.newFront(1, "z-a")
	front.start()
	front.awaitReady()
	record.line("the front is ready")
	end := time.Now().Add(60 * time.Second)
	go func() {
		for trouble() {
			time.Sleep(garblePause)
			engine.garble(true)
			time.Sleep(garbleTime)
			engine.garble(false)
		}
	}()
	consumer := &Consumer{target: front.ip + ":8221"}
	sent := 0
	for time.Now().Before(end) {
		id := newID()
		answer := consumer.send(http.MethodPost, "/chat/a", "site.example", modelHeader(id, "15000"), []byte("a question"), 15*time.Second)
		sent++
		record.line("consumer  %s answered %d %v", id, answer.status, answer.err)
		time.Sleep(2 * time.Millisecond)
	}
	close(stop)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	twice := 0
	for id, runs := range engine.runs {
		if runs > 1 {
			twice++
			record.line("TWICE  %s ran %d times", id, runs)
		}
	}
	summary := fmt.Sprintf("%d requests, none may run twice; %d answers came once more; %d requests ran more than once", sent, engine.extras, twice)
	record.line("%s", summary)
	fmt.Println(summary)
	return twice == 0
}

func (e *fullEngine) garble(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.garbled = on
	e.record.line("garbled: %v", on)
}
