package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// lateEngines is the number of engines; each has a model of its own. adapterCount is the number of adapters of a model.
	lateEngines  = 18
	adapterCount = 37
	// lateShare is the share of the orders that are left unanswered and carried out 2 to 12 s later.
	lateShare = 0.35
	// lateTime and soundTime are the lengths of the times in which that happens, and of those between.
	lateTime  = 6 * time.Second
	soundTime = 2 * time.Second
	// hotAdapters is the number of adapters of a model that are in steady use. Any other one is asked for rarely.
	hotAdapters = 7
	// hotInterval and rareInterval are the mean times between two requests of a model for the one and the other.
	hotInterval  = 400 * time.Millisecond
	rareInterval = 3000 * time.Millisecond
	// hotPrompt and rarePrompt are the tokens of a prompt, hotEvents and rareEvents the events of a stream, eventStep the time
	// between two.
	hotPrompt  = 2000
	rarePrompt = 100
	hotEvents  = 6
	rareEvents = 60
	eventStep  = 50 * time.Millisecond
	// playTime is how long the clients send requests.
	playTime = 95 * time.Second
)

func init() { cases["late-order"] = playLateOrder }

// playLateOrder has clients use a few adapters of each model steadily and the others rarely. With the trouble, engines leave a
// share of the orders unanswered and carry them out later.
func playLateOrder(s *site) (bool, error) {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	s.record.note("seed %d", seed)
	s.store.put("op/config", configuration(7))
	began := time.Now()
	var engines []*engine
	for number := range lateEngines {
		e := &engine{
			id: fmt.Sprintf("i-%d", number+1), zone: zones[number%len(zones)], model: modelNames[number], version: "v1", service: modelService,
			random: rand.New(rand.NewPCG(seed, uint64(number))),
			answer: func(e *engine, w http.ResponseWriter, r *http.Request) {
				events, _ := strconv.Atoi(r.URL.Query().Get("events"))
				e.stream(w, r, events, eventStep)
			},
		}
		if s.trouble {
			e.lateShare = func() float64 {
				if time.Since(began)%(lateTime+soundTime) < lateTime {
					return lateShare
				}
				return 0
			}
		}
		if err := s.addEngine(e); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := s.startFronts(3); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), playTime)
	defer stop()
	served := &atomic.Int64{}
	for number := range lateEngines {
		random := rand.New(rand.NewPCG(seed, uint64(1000+number)))
		go sendSpaced(ctx, s, served, number, hotInterval, hotPrompt, hotEvents, func() int { return 1 + rand.IntN(hotAdapters) })
		go sendSpaced(ctx, s, served, number, rareInterval, rarePrompt, rareEvents, func() int { return 1 + hotAdapters + random.IntN(adapterCount-hotAdapters) })
	}
	broken := func() bool {
		for _, e := range engines {
			e.mu.Lock()
			overfilled := e.overfilled
			e.mu.Unlock()
			if overfilled != "" {
				return true
			}
		}
		return false
	}
	for ctx.Err() == nil && !broken() {
		time.Sleep(100 * time.Millisecond)
	}
	stop()
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && !broken() && s.trouble; {
		time.Sleep(100 * time.Millisecond)
	}
	s.record.note("requests served: %d", served.Load())
	return broken(), nil
}

// sendSpaced sends requests for adapters of one model at random intervals until the context ends.
func sendSpaced(ctx context.Context, s *site, served *atomic.Int64, model int, interval time.Duration, prompt, events int, adapter func() int) {
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(interval))):
		}
		id := newID()
		t := try{
			front: s.fronts[rand.IntN(len(s.fronts))], id: id, method: http.MethodPost, target: fmt.Sprintf("/chat/%s?events=%d", id, events),
			limit: 8 * time.Second, body: "prompt",
			header: map[string]string{
				"Model":       fmt.Sprintf("%s/a%d", modelNames[model], adapter()),
				"Token-Count": fmt.Sprintf("%d,%d", prompt, 4*events), "Prompt-Prefix": fmt.Sprintf("%s:%d", id[8:], prompt),
			},
		}
		go func() {
			if o := t.send(context.Background(), s.record); o.status == http.StatusOK {
				served.Add(1)
			}
		}()
	}
}
