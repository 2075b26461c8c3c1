package placer

import (
	"sync"
	"time"
)

// senderTimeout is the time without messages after which an instance's demand is dropped.
const senderTimeout = 3 * time.Minute

// collector holds the latest demand of every instance, at the holder of a duty.
type collector struct {
	mutex   sync.Mutex
	senders map[string]*senderDemand
}

// senderDemand is the demand of one instance.
type senderDemand struct {
	incarnation uint64
	// sequence is the number of the last message that was applied.
	sequence uint64
	// receivedAt is when that message arrived.
	receivedAt time.Time
	rows       map[Key]Want
}

func newCollector() *collector {
	return &collector{
		senders: map[string]*senderDemand{},
	}
}

// apply stores the demand in a message from a sender. Messages that arrive out of order are
// ignored. It reports whether the message was accepted, which is false if the complete demand
// of the sender is needed first, and whether the sender newly waits for some key.
func (c *collector) apply(name string, incarnation, sequence uint64, full bool, wants []Want, now time.Time) (accepted, newWaiting bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sender, ok := c.senders[name]
	if !ok || incarnation > sender.incarnation {
		if !full {
			return false, false
		}
		sender = &senderDemand{
			incarnation: incarnation,
			rows:        map[Key]Want{},
		}
		c.senders[name] = sender
	}
	if incarnation < sender.incarnation || sequence <= sender.sequence {
		return true, false
	}
	previous := sender.rows
	if full {
		sender.rows = make(map[Key]Want, len(wants))
	}
	for _, want := range wants {
		newWaiting = newWaiting || want.Waiting > 0 && previous[want.Key].Waiting == 0
		sender.rows[want.Key] = want
	}
	sender.sequence = sequence
	sender.receivedAt = now
	return true, newWaiting
}

// sum returns the demand of all instances, summed by key. It drops silent senders, expired
// waiting requests and keys without recent requests.
func (c *collector) sum(now time.Time) []Want {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := map[Key]*Want{}
	for name, sender := range c.senders {
		if now.Sub(sender.receivedAt) > senderTimeout {
			delete(c.senders, name)
			continue
		}
		for key, want := range sender.rows {
			if want.Waiting > 0 && !now.Before(want.Latest) {
				want.clearWaiting()
				sender.rows[key] = want
			}
			if want.Waiting == 0 && want.recentAt(now) < negligible {
				delete(sender.rows, key)
				continue
			}
			if summed, ok := total[key]; ok {
				summed.addWant(want)
				continue
			}
			total[key] = &want
		}
	}
	wants := make([]Want, 0, len(total))
	for _, want := range total {
		wants = append(wants, *want)
	}
	return wants
}

// clear drops all demand when the duty is lost.
func (c *collector) clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.senders)
}
