package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// busyEngine is a model engine that is full with the work of others until a time.
type busyEngine struct {
	record *Record
	until  time.Time

	mu   sync.Mutex
	runs map[string]int
}

func (e *busyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/buckthorngap/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, report)
		return
	}
	if r.URL.Path == "/buckthorngap/order" {
		w.WriteHeader(http.StatusConflict)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if time.Now().Before(e.until) {
		e.record.line("engine  %s turned away, not run: full", id)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Server-Load", "64,192,64")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.record.line("engine  %s runs", id)
	w.Header().Set("Server-Load", "1,0,64")
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event, event, id)
	}
}

// sending is a request of the case.
type sending struct {
	what, id string
	// after is when it is sent, counted from the SIGTERM, and upload is how long its body takes.
	after, upload time.Duration

	sent, ended time.Time
	answer      Answer
}

// drainCase stops an instance while requests wait for an engine that is full: one that the engine has turned away before, and one
// whose body is complete only after the instance has refused what waits.
func drainCase(record *Record) bool {
	site := newSite(record)
	site.configure(configuration(streamRoute("summary", "/summary/", 25000, 4000)))
	listener := listen(240)
	engine := &busyEngine{record: record, runs: map[string]int{}, until: time.Now().Add(time.Hour)}
	go func() { _ = http.Serve(listener, engine) }()
	stop := make(chan struct{})
	defer close(stop)
	site.register("i-1", engineEntry(listener.Addr().String()), stop)
	fronts := []*Front{site.newFront(1, "z-a"), site.newFront(2, "z-b")}
	for _, front := range fronts {
		front.start()
	}
	for _, front := range fronts {
		front.awaitReady()
	}
	time.Sleep(5 * time.Second)
	term := time.Now().Add(2 * time.Second)
	engine.until = term.Add(8500 * time.Millisecond)
	sendings := []*sending{
		{what: "sent 1 s before the SIGTERM, turned away by the engine, waits", after: -time.Second},
		{what: "sent 0.5 s before the SIGTERM, turned away by the engine, waits", after: -500 * time.Millisecond},
		{what: "its body is sent from 1.9 s to 2.9 s after the SIGTERM", after: 1900 * time.Millisecond, upload: time.Second},
		{what: "its body is sent from 1.5 s to 3.0 s after the SIGTERM", after: 1500 * time.Millisecond, upload: 1500 * time.Millisecond},
	}
	var group sync.WaitGroup
	for _, s := range sendings {
		s.id = newID()
		consumer := &Consumer{target: fronts[0].ip + ":8221"}
		consumer.open()
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Until(term.Add(s.after)))
			record.line("consumer  %s is sent (%s)", s.id, s.what)
			s.answer, s.sent = consumer.upload(http.MethodPost, "/summary/a", "site.example", modelHeader(s.id, "25000"), []byte(strings.Repeat("q", 18000)), s.upload, 25*time.Second)
			s.ended = time.Now()
			record.line("consumer  %s ended: status %d, error %v", s.id, s.answer.status, s.answer.err)
		}()
	}
	time.Sleep(time.Until(term))
	if trouble() {
		record.line("SIGTERM to %s", fronts[0].name)
		fronts[0].signal(syscall.SIGTERM)
		select {
		case <-fronts[0].done:
			record.line("%s has ended by itself, %.2f s after the SIGTERM", fronts[0].name, time.Since(term).Seconds())
		case <-time.After(8 * time.Second):
			record.line("grace_s is over: SIGKILL to %s", fronts[0].name)
			fronts[0].kill()
		}
	}
	group.Wait()
	lost := 0
	for _, s := range sendings {
		// A channel that ends without a complete answer, later than loss_slack_ms after the request's last byte, within its time limit.
		if s.answer.status == 0 && s.ended.Sub(s.sent) > 200*time.Millisecond && s.ended.Sub(s.sent) < 24*time.Second && s.ended.Sub(term) < 9*time.Second {
			lost++
			record.line("LOST  %s: read by the process, never answered, channel closed %.2f s after its last byte; runs: %d", s.id, s.ended.Sub(s.sent).Seconds(), engine.runs[s.id])
		}
	}
	summary := fmt.Sprintf("%d requests; %d were read and never answered", len(sendings), lost)
	record.line("%s", summary)
	fmt.Println(summary)
	return lost == 0
}
