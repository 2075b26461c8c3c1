package runner

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

// eventLimit is the maximum number of cache events kept; beyond it the older half is dropped.
const eventLimit = 4096

// cache emulates an engine's prefix cache: it holds a limited number of prompt
// prefixes, evicts the least recently used one, and publishes events for both.
type cache struct {
	config Config

	mu sync.Mutex
	// lastUse maps each cached prefix to the value of clock at its last use.
	lastUse   map[string]uint64
	clock     uint64
	sequence  uint64
	published []Event
}

func newCache(config Config) *cache {
	return &cache{
		config:  config,
		lastUse: map[string]uint64{},
	}
}

// touch marks a prefix as used, caches it if it was absent, and reports whether
// it was cached before. An empty prefix is never cached.
func (c *cache) touch(prefix string) bool {
	if prefix == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock++
	_, hit := c.lastUse[prefix]
	c.lastUse[prefix] = c.clock
	if hit {
		return true
	}
	c.publish(prefix, true)
	if len(c.lastUse) > c.config.Prefixes {
		c.evict()
	}
	return false
}

// evict drops the least recently used prefix. The caller holds the lock.
func (c *cache) evict() {
	oldest, oldestUse := "", c.clock+1
	for prefix, lastUse := range c.lastUse {
		if lastUse < oldestUse {
			oldest, oldestUse = prefix, lastUse
		}
	}
	delete(c.lastUse, oldest)
	c.publish(oldest, false)
}

// publish appends a cache event. With Config.EventGap it drops every n-th event
// but still counts its sequence number, so that readers can detect the loss.
// The caller holds the lock.
func (c *cache) publish(prefix string, stored bool) {
	c.sequence++
	if c.config.EventGap > 0 && c.sequence%uint64(c.config.EventGap) == 0 {
		return
	}
	if len(c.published) >= eventLimit {
		c.published = append(c.published[:0], c.published[eventLimit/2:]...)
	}
	c.published = append(c.published, Event{
		Sequence: c.sequence,
		Prefix:   prefix,
		Stored:   stored,
		at:       c.config.Now(),
	})
}

// serveEvents answers the events after a sequence number that are older than Config.EventLag.
func (c *cache) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	c.mu.Lock()
	due := c.config.Now().Add(-c.config.EventLag)
	response := Events{
		Events: []Event{},
	}
	for _, event := range c.published {
		if event.Sequence > after && !event.at.After(due) {
			response.Events = append(response.Events, event)
		}
	}
	c.mu.Unlock()
	writeJSON(w, response)
}

// serveExport answers the block of a cached prefix, or 404.
func (c *cache) serveExport(w http.ResponseWriter, r *http.Request) {
	var block Block
	if err := json.NewDecoder(r.Body).Decode(&block); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	_, ok := c.lastUse[block.Prefix]
	c.mu.Unlock()
	if !ok {
		http.Error(w, "prefix is not cached", http.StatusNotFound)
		return
	}
	block.Tokens = make([]byte, c.config.PrefixBytes)
	writeJSON(w, block)
}

// serveImport caches the prefix of a block that another engine exported.
func (c *cache) serveImport(w http.ResponseWriter, r *http.Request) {
	var block Block
	if err := json.NewDecoder(r.Body).Decode(&block); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.touch(block.Prefix)
	w.WriteHeader(http.StatusNoContent)
}
