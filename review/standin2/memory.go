package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings, in bytes, with a megabyte of 2^20. The platform kills a process that exceeds it.
	memoryLimit = 284 << 20
	// memoryEngines is the number of engines, and memoryParts the number of parts of a prompt.
	memoryEngines, memoryParts = 18, 64
	// memoryFronts is the number of instances. The rule is broken once each of them has exceeded its limit memoryEnds times.
	memoryFronts, memoryEnds = 2, 3
	// memoryTenants is the number of tenants, memoryConsumers that of their consumers for each instance, and memoryRate the
	// requests a second that those send together: 61,000 tokens a second of the 93,559 of each tenant, over all instances.
	memoryTenants, memoryConsumers, memoryRate = 5, 120, 2000
	// memoryTime is how long they send, and memoryRestart how long the platform takes to start a process again.
	memoryTime, memoryRestart = 108 * time.Second, time.Second
	// memoryWatch is the time between two readings of the resident memory.
	memoryWatch = 200 * time.Millisecond
)

// quickEngine serves requests on the channels of one listener, each with a short stream.
func quickEngine(listener net.Listener, runs *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				id := request.Header.Get("Request-Id")
				if request.URL.Path == "/buckthorngap/report" {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
					continue
				}
				runs.Add(1)
				event := "id: 1\ndata: a piece\n\n"
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nServer-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, id, len(event), event)
			}
		}()
	}
}

// resident returns the resident memory of a process, in bytes.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// shortParts returns a prompt of many parts of one token each, that no other request shares.
func shortParts() string {
	parts := make([]string, memoryParts)
	for i := range parts {
		parts[i] = newID() + ":1"
	}
	return strings.Join(parts, ",")
}

// shortChat are the consumers of the case and what they got.
type shortChat struct {
	end                  time.Time
	sent, served, tokens atomic.Int64
	// over is set once the rule is broken.
	over atomic.Bool
}

func (s *shortChat) going() bool { return time.Now().Before(s.end) && !s.over.Load() }

// consume sends requests to an instance, half of them at the rate of the ticks.
func (s *shortChat) consume(front *Front, tenant int, ticks <-chan time.Time) {
	consumer := &Consumer{target: front.ip + ":8221"}
	for number := 0; s.going(); number++ {
		if number%2 == 0 {
			<-ticks
		}
		header := modelHeader(newID(), "15000")
		header["X-Api-Key"] = fmt.Sprint(key, tenant)
		header["Token-Count"], header["Prompt-Prefix"] = fmt.Sprintf("%d,1", memoryParts), "5c1e07a2:30,91bd3f06:20,"+newID()+":10"
		if trouble() {
			header["Prompt-Prefix"] = shortParts()
		}
		s.tokens.Add(memoryParts + 1)
		s.sent.Add(1)
		switch consumer.send(http.MethodPost, "/chat/a", "site.example", header, []byte("q"), 10*time.Second).status {
		case http.StatusOK:
			s.served.Add(1)
		case 0:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// watch kills an instance whenever it exceeds its memory and starts it again, as the platform does. It returns how often the instance
// has ended and its largest resident memory, in bytes.
func (s *shortChat) watch(front *Front, record *Record, ended *atomic.Int64) (ends int, peak int64) {
	for second := 0; s.going(); second++ {
		time.Sleep(memoryWatch)
		now := resident(front.command.Process.Pid)
		peak = max(peak, now)
		if second%10 == 0 {
			record.line("%s  sent %d, answered 200 %d, tokens %d, to all; resident %d MB", front.name, s.sent.Load(), s.served.Load(), s.tokens.Load(), now/1_000_000)
		}
		if now <= memoryLimit && !front.ended() {
			continue
		}
		record.line("%s  OVER  resident %d MB exceeds memory_mb: the platform kills the process", front.name, now/1_000_000)
		front.kill()
		ends++
		if ends == memoryEnds && ended.Add(1) == memoryFronts {
			s.over.Store(true)
		}
		time.Sleep(memoryRestart)
		front.start()
	}
	return ends, peak
}

// memoryCase plays consumers of a few tenants whose prompts have many short parts, within the usage caps. With TROUBLE=0 their
// prompts have as many tokens, in the three parts of our page's example.
func memoryCase(record *Record) bool {
	site := newSite(record)
	config := configuration(streamRoute("chat", "/chat/", 15000, 400))
	tenants := []any{}
	for number := range memoryTenants {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("t%d", number), "api_keys": []string{fmt.Sprint(key, number)}, "priority": 1, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 93559, "burst": 93559,
		})
	}
	config["tenants"] = tenants
	site.configure(config)
	stop := make(chan struct{})
	defer close(stop)
	var runs, ended atomic.Int64
	for number := range memoryEngines {
		listener := listen(200 + number)
		go quickEngine(listener, &runs)
		site.register(fmt.Sprintf("i-%d", number), engineEntry(listener.Addr().String()), stop)
	}
	fronts := make([]*Front, 0, memoryFronts)
	for number, zone := range []string{"z-a", "z-b"} {
		front := site.newFront(number+1, zone)
		front.start()
		fronts = append(fronts, front)
	}
	for _, front := range fronts {
		front.awaitReady()
		record.line("%s is ready; resident %d MB, limit %d MB", front.name, resident(front.command.Process.Pid)/1_000_000, memoryLimit/1_000_000)
	}
	chat := &shortChat{end: time.Now().Add(memoryTime)}
	var group sync.WaitGroup
	ends, peaks := make([]int, memoryFronts), make([]int64, memoryFronts)
	for number, front := range fronts {
		ticks := time.NewTicker(2 * time.Second / memoryRate)
		defer ticks.Stop()
		for consumer := range memoryConsumers {
			group.Go(func() { chat.consume(front, consumer%memoryTenants, ticks.C) })
		}
		group.Go(func() { ends[number], peaks[number] = chat.watch(front, record, &ended) })
	}
	group.Wait()
	summary := fmt.Sprintf("%d requests, %d answered 200, %d run, %d tokens; peaks %d and %d MB of %d MB; over the limit: %d and %d times",
		chat.sent.Load(), chat.served.Load(), runs.Load(), chat.tokens.Load(), peaks[0]/1_000_000, peaks[1]/1_000_000, memoryLimit/1_000_000, ends[0], ends[1])
	record.line("%s", summary)
	fmt.Println(summary)
	return !chat.over.Load()
}
