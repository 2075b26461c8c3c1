package main

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// copiesTime is how long the consumers send. Faulty engines write answers twice for faultTime, then rest for restTime.
	copiesTime = 108 * time.Second
	faultTime  = 5 * time.Second
	restTime   = time.Second
	// copiesEngines is the number of engines, of which faultyEngines are faulty, and copiesConsumers that of the consumers.
	copiesEngines   = 12
	faultyEngines   = 7
	copiesConsumers = 200
)

// runCopies plays consumers of many adapters before engines that write some answers twice, and returns the exit code.
func runCopies(record *log.Logger, trouble bool) int {
	s, err := newSite(2, 0, 1)
	if err != nil {
		record.Println("not run:", err)
		return exitNotRun
	}
	defer s.close()
	engines := []*adapterEngine{}
	for i := range copiesEngines {
		e, err := newAdapterEngine(s.store, record, s.network+"2", "i-model"+strconv.Itoa(i))
		if err != nil {
			record.Println("not run:", err)
			return exitNotRun
		}
		engines = append(engines, e)
	}
	if err := s.start(); err != nil {
		record.Println("not run:", err)
		return exitNotRun
	}
	began := time.Now()
	for _, e := range engines[:faultyEngines] {
		if trouble {
			e.setFaulty(func() bool { return time.Since(began)%(faultTime+restTime) < faultTime })
		}
	}
	var stop atomic.Bool
	var served atomic.Int64
	var consumers sync.WaitGroup
	for number := range copiesConsumers {
		consumers.Go(func() { consumeAdapters(s.fronts[number%len(s.fronts)], number, &stop, &served) })
	}
	broken := 0
	for broken == 0 && time.Since(began) < copiesTime {
		time.Sleep(100 * time.Millisecond)
		broken = countBroken(engines)
	}
	stop.Store(true)
	consumers.Wait()
	record.Printf("after %.1f s: %d requests served, %d orders to load an adapter without room", time.Since(began).Seconds(), served.Load(), broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// countBroken returns the number of loads without room.
func countBroken(engines []*adapterEngine) int {
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		broken += e.broken
		e.mu.Unlock()
	}
	return broken
}

// setFaulty sets when the engine writes answers twice.
func (e *adapterEngine) setFaulty(faulty func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faulty = faulty
}

// consumeAdapters sends one request after the other, each for some adapter.
func consumeAdapters(f *front, number int, stop *atomic.Bool, served *atomic.Int64) {
	client := http.Client{
		Timeout: 6 * time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
		},
	}
	for !stop.Load() {
		if sendAdapter(&client, f, number) == http.StatusOK {
			served.Add(1)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// someAdapter returns the name of one of the adapters: 37 of one model, 20 of another.
func someAdapter() string {
	number := rand.IntN(37 + 20)
	if number < 37 {
		return "m0/a" + strconv.Itoa(1+number)
	}
	return "m2/a" + strconv.Itoa(number-36)
}

// sendAdapter sends one request and returns the status of a complete answer, or 0.
func sendAdapter(client *http.Client, f *front, number int) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers+"/quick/2f", strings.NewReader("hello"))
	if err != nil {
		return 0
	}
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("Model", someAdapter())
	request.Header.Set("Token-Count", "277,90")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:198,%08x:79", rand.Uint32()))
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
