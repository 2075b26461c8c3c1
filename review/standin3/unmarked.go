package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// greyShare is the share of its requests that the grey instance fails, and greyTime how long it does: the largest dose of srv_grey
	// on the site.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	// greyStart is when it begins, and greyEnd when the consumers end.
	greyStart = 3 * time.Second
	greyEnd   = 15 * time.Second
	// chargeConsumers is the number of consumers, and chargePause the pause of each between two charges.
	chargeConsumers = 6
	chargePause     = 200 * time.Millisecond
)

// charge is one attempt of a consumer to charge a hire.
type charge struct {
	id, operation string
	sent          time.Time
	status        int
	sealed        bool
}

// unmarkedCase plays consumers that charge hires while an instance of the service fails a part of its requests.
type unmarkedCase struct {
	site *site
	stop atomic.Bool

	mu sync.Mutex
	// runs are the operations that instances ran, by the request's identity.
	runs    map[string]string
	charges []charge
}

// runUnmarked plays the case and returns the exit code.
func runUnmarked(record *log.Logger, trouble bool) int {
	s, err := newSite(2, 3, 3)
	if err != nil {
		record.Println("not run:", err)
		return exitNotRun
	}
	defer s.close()
	c := &unmarkedCase{
		site: s,
		runs: map[string]string{},
	}
	desks := s.engines[3:]
	for _, e := range desks {
		e.observe = c.observe
	}
	if err := s.start(); err != nil {
		record.Println("not run:", err)
		return exitNotRun
	}
	began := time.Now()
	if trouble {
		desks[0].setFail(func() bool {
			since := time.Since(began)
			return since >= greyStart && since < greyStart+greyTime && rand.Float64() < greyShare
		})
	}
	var consumers sync.WaitGroup
	for number := range chargeConsumers {
		consumers.Go(func() { c.consume(s.fronts[number%len(s.fronts)], number) })
	}
	time.Sleep(greyEnd)
	c.stop.Store(true)
	consumers.Wait()
	time.Sleep(time.Second)
	return c.judge(record, began)
}

// observe records a run.
func (c *unmarkedCase) observe(id, operation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = operation
}

// judge lists what was promised not to have run and has, and returns the exit code.
func (c *unmarkedCase) judge(record *log.Logger, began time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.Slice(c.charges, func(i, j int) bool { return c.charges[i].sent.Before(c.charges[j].sent) })
	statuses, times := map[int]int{}, map[string]int{}
	broken := 0
	for _, operation := range c.runs {
		times[operation]++
	}
	for _, attempt := range c.charges {
		statuses[attempt.status]++
		_, ran := c.runs[attempt.id]
		promised := attempt.status == http.StatusServiceUnavailable || attempt.status == http.StatusTooManyRequests
		if ran && promised {
			broken++
		}
		record.Printf("%6.3f s %s of operation %s: answered %d, seal %t, ran %t\n", attempt.sent.Sub(began).Seconds(), attempt.id, attempt.operation, attempt.status, attempt.sealed, ran)
	}
	twice := 0
	for _, count := range times {
		if count > 1 {
			twice++
		}
	}
	record.Printf("answers by status (0: no answer): %v\n", statuses)
	record.Printf("requests that were promised not to have run and have: %d\n", broken)
	record.Printf("operations that ran twice, since the consumer trusted the promise: %d\n", twice)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// consume charges one hire after the other on a kept channel. It repeats an attempt once, and only after a promise that it has not run.
func (c *unmarkedCase) consume(f *front, number int) {
	var channel net.Conn
	var reader *bufio.Reader
	for turn := 0; !c.stop.Load(); turn++ {
		operation := fmt.Sprintf("hire-%d-%d", number, turn)
		for range 2 {
			if channel == nil {
				dialed, err := net.DialTimeout("tcp", f.callers, time.Second)
				if err != nil {
					break
				}
				channel, reader = dialed, bufio.NewReader(dialed)
			}
			status, kept := c.send(channel, reader, operation, number)
			if !kept {
				_ = channel.Close()
				channel = nil
			}
			if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(chargePause)
	}
	if channel != nil {
		_ = channel.Close()
	}
}

// send sends one attempt and returns its status, or 0, and whether the channel is kept.
func (c *unmarkedCase) send(channel net.Conn, reader *bufio.Reader, operation string, number int) (status int, kept bool) {
	attempt := charge{
		id:        fmt.Sprintf("%016x", rand.Uint64()),
		operation: operation,
		sent:      time.Now(),
	}
	defer func() {
		attempt.status = status
		c.mu.Lock()
		c.charges = append(c.charges, attempt)
		c.mu.Unlock()
	}()
	request := strings.Join([]string{
		"POST /charge/2f HTTP/1.1", "Host: ficu95.example", "Request-Id: " + attempt.id, "Deadline-Ms: 1500",
		"X-Api-Key: " + tenantKey(number%5), fmt.Sprintf("Content-Length: %d", len(operation)), "", operation,
	}, "\r\n")
	_ = channel.SetDeadline(attempt.sent.Add(2 * time.Second))
	if _, err := io.WriteString(channel, request); err != nil {
		return 0, false
	}
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, false
	}
	attempt.sealed = answer.Header.Get("Response-Seal") != ""
	return answer.StatusCode, !answer.Close
}
