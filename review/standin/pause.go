package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// pauseServers is the number of servers, one of which is cut off.
	pauseServers = 5
	// pauseTime is what the engine states in Retry-After.
	pauseTime = 15 * time.Second
	// cutTime is how long the engine does not reach the store.
	cutTime = 5 * time.Second
	// pauseSlack is how long after the answer requests may still arrive.
	pauseSlack = 500 * time.Millisecond
	// maxPaused is the largest number of requests that may arrive later within the time.
	maxPaused = 2
)

func init() { cases["pause"] = playPause }

// playPause has an engine turn a request away for a time. With the trouble, that engine is then cut off from the store for a
// few seconds, so that its entry is removed and comes back.
func playPause(s *site) (bool, error) {
	s.store.put("op/config", configuration(7))
	var mu sync.Mutex
	var paused time.Time
	turnAway, within := false, 0
	refuse := func(e *engine, w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if since := now.Sub(paused); !paused.IsZero() && since > pauseSlack && since < pauseTime {
			within++
			s.record.line("%s gets request %s %.1f s after it asked for none for %v", e.id, r.Header.Get("Request-Id"), since.Seconds(), pauseTime)
		}
		if !turnAway {
			return false
		}
		turnAway, paused = false, now
		s.record.note("%s turns request %s away with 503 and Retry-After %v", e.id, r.Header.Get("Request-Id"), pauseTime.Seconds())
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", fmt.Sprint(pauseTime.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	var engines []*engine
	for number := range pauseServers {
		e := &engine{
			id: fmt.Sprintf("i-%d", number+1), zone: zones[number%len(zones)], version: "v1", service: plainService,
			answer: func(_ *engine, w http.ResponseWriter, _ *http.Request) {
				time.Sleep(15 * time.Millisecond)
				_, _ = w.Write([]byte("balance"))
			},
		}
		if number == 0 {
			e.refuse = refuse
		}
		if err := s.addEngine(e); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := s.startFronts(1); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go sendSteadily(ctx, s)
	time.Sleep(5 * time.Second)
	mu.Lock()
	turnAway = true
	mu.Unlock()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		began := !paused.IsZero()
		mu.Unlock()
		if began {
			break
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("the engine got no request")
		}
	}
	if s.trouble {
		engines[0].cut(cutTime)
	}
	time.Sleep(pauseTime)
	stop()
	mu.Lock()
	defer mu.Unlock()
	s.record.note("requests that reached %s within the time that it had stated: %d, allowed %d", engines[0].id, within, maxPaused)
	return within > maxPaused, nil
}

// cut cuts the engine off from the store, which removes its entry after three heartbeats of silence.
func (e *engine) cut(span time.Duration) {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	e.site.record.note("%s is cut off from the store", e.id)
	time.AfterFunc(registerLimit, func() {
		e.site.record.note("the store removes the entry of %s", e.id)
		e.site.store.drop("servers/" + e.id)
	})
	time.AfterFunc(span, func() {
		e.mu.Lock()
		e.silent = false
		e.mu.Unlock()
		e.site.record.note("%s reaches the store again", e.id)
		e.beat()
	})
}

// sendSteadily sends requests, 20 a second, until the context ends.
func sendSteadily(ctx context.Context, s *site) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t := try{
			front: s.fronts[number%len(s.fronts)], id: newID(), method: http.MethodGet, target: fmt.Sprintf("/desk/%d", number), limit: 2 * time.Second,
		}
		go t.send(context.Background(), s.record)
	}
}
