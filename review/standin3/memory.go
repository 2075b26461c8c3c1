package main

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowd is the number of consumers of each machine.
	crowd = 64
	// playTime is how long the consumers send.
	playTime = 100 * time.Second
	// ownEnds is the number of own ends of a process, on two machines, that the rule takes for a fault.
	ownEnds = 3
)

// memoryCase plays consumers whose prompts have many parts before two machines.
type memoryCase struct {
	site   *site
	record *log.Logger
	// parts is the number of parts of a prompt and tokens the length of each.
	parts, tokens int
	stop          atomic.Bool
	mu            sync.Mutex
	statuses      map[int]int
}

// runMemory plays the case and returns the exit code.
func runMemory(record *log.Logger, trouble bool) int {
	s, err := newSite(2, 12, 3)
	if err != nil {
		record.Println("not run:", err)
		return exitNotRun
	}
	defer s.close()
	c := &memoryCase{
		site:     s,
		record:   record,
		parts:    2,
		tokens:   32,
		statuses: map[int]int{},
	}
	if trouble {
		c.parts, c.tokens = 64, 1
	}
	if err := s.start(); err != nil {
		record.Println("not run:", err)
		return exitNotRun
	}
	began := time.Now()
	var consumers, platform sync.WaitGroup
	ends := make([]int, len(s.fronts))
	for i, f := range s.fronts {
		for number := range crowd {
			consumers.Go(func() { c.consume(f, number) })
		}
		platform.Go(func() { ends[i] = c.watch(f, began) })
	}
	platform.Wait()
	c.stop.Store(true)
	consumers.Wait()
	return c.judge(ends)
}

// judge writes the counts and returns the exit code.
func (c *memoryCase) judge(ends []int) int {
	c.record.Printf("answers by status (0: no answer): %v\n", c.statuses)
	ran := int64(0)
	for _, e := range c.site.engines {
		ran += e.ran.Load()
	}
	c.record.Printf("requests that engines ran: %d\n", ran)
	c.record.Printf("ends of the two processes over the memory limit: %v\n", ends)
	broken := 0
	for _, count := range ends {
		if count >= ownEnds {
			broken++
		}
	}
	if broken >= 2 {
		return exitBroken
	}
	return exitHeld
}

// watch ends and restarts a process over its memory limit, as the platform does, and returns how often that happened.
func (c *memoryCase) watch(f *front, began time.Time) int {
	ends, most := 0, 0.0
	for last := began; time.Since(began) < playTime && ends < ownEnds; time.Sleep(50 * time.Millisecond) {
		memory := f.memory()
		most = max(most, memory)
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			c.record.Printf("%6.2f s %s takes %.0f MB\n", time.Since(began).Seconds(), f.name, memory)
		}
		if memory <= memoryMegabytes {
			continue
		}
		ends++
		c.record.Printf("%6.2f s %s takes %.0f MB of %d MB and is killed by the platform\n", time.Since(began).Seconds(), f.name, memory, memoryMegabytes)
		f.signal(syscall.SIGKILL)
		f.stop()
		time.Sleep(restartDelay)
		if f.start() != nil || !f.awaitReady(startTime) {
			c.record.Printf("%s does not start again\n", f.name)
			return ends
		}
	}
	c.record.Printf("%s took %.0f MB at most\n", f.name, most)
	return ends
}

// consume sends one request after the other on a kept channel.
func (c *memoryCase) consume(f *front, number int) {
	client := http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
		},
	}
	for !c.stop.Load() {
		status := c.send(&client, f, number)
		c.mu.Lock()
		c.statuses[status]++
		c.mu.Unlock()
		if status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// send sends one request and returns the status of a complete answer, or 0.
func (c *memoryCase) send(client *http.Client, f *front, number int) int {
	parts := make([]string, c.parts)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x:%d", rand.Uint32(), c.tokens)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers+"/quick/2f", strings.NewReader("hello"))
	if err != nil {
		return 0
	}
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("Model", []string{"m0", "m1"}[number%2])
	request.Header.Set("Token-Count", fmt.Sprintf("%d,4", c.parts*c.tokens))
	request.Header.Set("Prompt-Prefix", strings.Join(parts, ","))
	request.Header.Set("Deadline-Ms", "5000")
	request.Header.Set("X-Api-Key", tenantKey(number%5))
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}
