package messenger

import (
	"sync"
	"time"
)

// incarnationEntries is the maximum number of instances whose incarnation is stored.
const incarnationEntries = 16384

// incarnations holds the newest known incarnation of each instance.
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

// accept records the incarnation of an instance and returns true, or returns false if a newer one is
// known.
func (i *incarnations) accept(name string, number uint64, now time.Time) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	newest, ok := i.entries[name]
	if ok && number < newest.number {
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
