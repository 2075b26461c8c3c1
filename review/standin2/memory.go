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
	memoryEngines, memoryParts = 18, 60
	// memoryTenants is the number of tenants, memoryConsumers that of their consumers, and memoryRate the requests a second that
	// they send together: 31,000 tokens a second of the 93,559 of each tenant.
	memoryTenants, memoryConsumers, memoryRate = 3, 60, 1536
	// memoryTime is how long they send.
	memoryTime = 75 * time.Second
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
	var runs atomic.Int64
	for number := range memoryEngines {
		listener := listen(200 + number)
		go quickEngine(listener, &runs)
		site.register(fmt.Sprintf("i-%d", number), engineEntry(listener.Addr().String()), stop)
	}
	front := site.newFront(1, "z-a")
	front.start()
	front.awaitReady()
	record.line("the front is ready; resident %d MB, limit %d MB", resident(front.command.Process.Pid)/1_000_000, memoryLimit/1_000_000)
	var sent, served, tokens atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(memoryTime)
	ticks := time.NewTicker(2 * time.Second / memoryRate)
	defer ticks.Stop()
	var over atomic.Bool
	for consumerNumber := range memoryConsumers {
		group.Add(1)
		go func() {
			defer group.Done()
			consumer := &Consumer{target: front.ip + ":8221"}
			for number := 0; time.Now().Before(end) && !over.Load(); number++ {
				if number%2 == 0 {
					<-ticks.C
				}
				header := modelHeader(newID(), "15000")
				header["X-Api-Key"] = fmt.Sprint(key, consumerNumber%memoryTenants)
				header["Token-Count"], header["Prompt-Prefix"] = fmt.Sprintf("%d,1", memoryParts), "5c1e07a2:30,91bd3f06:20,"+newID()+":10"
				if trouble() {
					header["Prompt-Prefix"] = shortParts()
				}
				tokens.Add(memoryParts + 1)
				sent.Add(1)
				if consumer.send(http.MethodPost, "/chat/a", "site.example", header, []byte("q"), 10*time.Second).status == http.StatusOK {
					served.Add(1)
				}
			}
		}()
	}
	peak := int64(0)
	for second := 0; time.Now().Before(end) && !over.Load(); second++ {
		time.Sleep(200 * time.Millisecond)
		now := resident(front.command.Process.Pid)
		peak = max(peak, now)
		if second%10 == 0 {
			record.line("sent %d, answered 200 %d, run %d, tokens %d; resident %d MB", sent.Load(), served.Load(), runs.Load(), tokens.Load(), now/1_000_000)
		}
		if now > memoryLimit {
			over.Store(true)
			record.line("OVER  resident %d MB exceeds memory_mb: the platform kills the process", now/1_000_000)
			front.kill()
		}
		if front.ended() {
			over.Store(true)
		}
	}
	group.Wait()
	summary := fmt.Sprintf("%d requests, %d answered 200, %d tokens; peak %d MB of %d MB; over the limit: %v", sent.Load(), served.Load(), tokens.Load(), peak/1_000_000, memoryLimit/1_000_000, over.Load())
	record.line("%s", summary)
	fmt.Println(summary)
	return !over.Load()
}
