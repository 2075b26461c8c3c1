package messenger

import (
	"sync"
	"time"
)

// incarnationEntries bounds the number of instances whose incarnation is remembered.
const incarnationEntries = 16384

// incarnations holds the newest incarnation (start counter) of each instance.
type incarnations struct {
	lock    sync.Mutex
	entries map[string]incarnation
}

// incarnation is the newest incarnation of an instance, and when it last sent a message.
type incarnation struct {
	number      uint64
	lastMessage time.Time
}

func newIncarnations() *incarnations {
	return &incarnations{
		entries: map[string]incarnation{},
	}
}

// check records the incarnation, and reports whether no newer one was seen before.
func (i *incarnations) check(name string, number uint64, now time.Time) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	known, ok := i.entries[name]
	if ok && number < known.number {
		return false
	}
	if !ok && len(i.entries) >= incarnationEntries {
		i.evict()
	}
	i.entries[name] = incarnation{
		number:      number,
		lastMessage: now,
	}
	return true
}

// evict drops the instance whose last message is the oldest.
func (i *incarnations) evict() {
	oldest := ""
	for name, entry := range i.entries {
		if oldest == "" || entry.lastMessage.Before(i.entries[oldest].lastMessage) {
			oldest = name
		}
	}
	delete(i.entries, oldest)
}
