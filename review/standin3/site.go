package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

const (
	// kvTokens is the memory of a model engine for prompts, in tokens, of the sheet of bula-dry.
	kvTokens = 255_614
	// teamRate is the usage cap of a tenant, in tokens a second, as in the bench's example of that site.
	teamRate = 93_559
	// modelSlots and deskSlots are the requests that an engine runs at once.
	modelSlots = 64
	deskSlots  = 6
	// startTime is how long the system may take to become ready.
	startTime = 20 * time.Second
)

// zones are those of bula-dry.
var zones = []string{"suva-a", "nadi-b", "lautoka-c"}

// site is a small deployment on loopback addresses.
type site struct {
	folder  string
	network string
	store   *store
	engines []*engine
	fronts  []*front
}

// newSite starts the store and the engines, writes the configuration, and prepares the machines.
func newSite(fronts, modelEngines, deskEngines int) (*site, error) {
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	s := &site{
		folder:  folder,
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	if s.store, err = newStore(s.network + "1"); err != nil {
		return nil, err
	}
	s.store.put("op/config", s.configuration(7))
	for i := range modelEngines {
		e, err := newEngine(s.store, s.network+"2", "i-model"+strconv.Itoa(i), "talanoa-llm", zones[i%len(zones)], modelSlots, []string{"m0", "m2"}, 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
	}
	for i := range deskEngines {
		e, err := newEngine(s.store, s.network+"2", "i-desk"+strconv.Itoa(i), "hire-desk", zones[i%len(zones)], deskSlots, nil, 30*time.Millisecond)
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
	}
	for i := range fronts {
		f, err := newFront(folder, "front-"+strconv.Itoa(i), s.network+strconv.Itoa(10+i), zones[i%len(zones)], s.store.address)
		if err != nil {
			return nil, err
		}
		s.fronts = append(s.fronts, f)
	}
	return s, nil
}

// notReady reports a process that does not become ready.
type notReady struct {
	name string
}

// Error implements error.
func (e *notReady) Error() string { return e.name + " is not ready" }

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, f := range s.fronts {
		f.stop()
	}
	_ = os.RemoveAll(s.folder)
}

// start starts all processes and waits until they are ready.
func (s *site) start() error {
	for _, f := range s.fronts {
		if err := f.start(); err != nil {
			return err
		}
	}
	for _, f := range s.fronts {
		if !f.awaitReady(startTime) {
			return &notReady{
				name: f.name,
			}
		}
	}
	return nil
}

// configuration returns a configuration like that of bula-dry.
func (s *site) configuration(version int) map[string]any {
	model := func(name string, mb, load float64, adapters int) map[string]any {
		return map[string]any{
			"name": name, "mb": mb, "load_s": load, "adapters": adapters, "adapter_mb": 12.0, "warm_s": 0.57, "disk_s": 1.5,
		}
	}
	route := func(name, prefix, kind, service string, timeout, goal, priority, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "prefix": prefix, "route_type": kind, "service": service, "timeout_ms": timeout,
			"goal_ms": goal, "gap_target_ms": 300, "priority": priority, "max_attempts": attempts, "can_resume": resume,
			"public": false, "sticky": kind == "streaming",
		}
	}
	tenants := []map[string]any{}
	for i := range 5 {
		tenants = append(tenants, map[string]any{
			"name": "tenant" + strconv.Itoa(i), "api_keys": []string{tenantKey(i)}, "priority": 1, "unit": "token_stream",
			"plain_tokens": 200, "rate_per_s": teamRate, "burst": teamRate,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("quick-reply", "/quick/", "streaming", "talanoa-llm", 15_000, 400, 0, 1, false),
			route("night-summary", "/night/", "streaming", "talanoa-llm", 25_000, 4_000, 1, 2, true),
			route("hire-charge", "/charge/", "non_idempotent", "hire-desk", 800, 150, 2, 1, false),
			route("stock-look", "/stock/", "idempotent", "hire-desk", 800, 150, 2, 2, false),
		},
		"services": []map[string]any{
			{
				"name": "talanoa-llm", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": modelSlots, "kv_capacity_tokens": kvTokens, "mb": 160_000.0, "adapter_slots": 8, "loads_per_s": 2.8,
					"models": []map[string]any{model("m0", 65_100, 6.1, 37), model("m2", 72_700, 6.9, 20)},
				},
			},
			{"name": "hire-desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
		},
		"tenants": tenants,
	}
}

// tenantKey returns the key of a tenant.
func tenantKey(number int) string { return "i9n73hh2b9wu3fexd9d" + strconv.Itoa(number) }
