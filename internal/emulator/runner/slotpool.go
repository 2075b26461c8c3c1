package runner

import (
	"context"
	"sync"
)

// slotPool is a semaphore with priorities: it limits the number of requests
// that run at once, and grants free slots to interactive requests before overnight ones.
type slotPool struct {
	mu      sync.Mutex
	slots   int
	running int
	// waiting holds the queued requests, interactive ones at index 0 and overnight ones at index 1.
	waiting [2][]chan struct{}
}

func newSlotPool(slots int) *slotPool {
	return &slotPool{
		slots: slots,
	}
}

// acquire waits for a slot. It returns the context's error if that ends first.
func (p *slotPool) acquire(ctx context.Context, overnight bool) error {
	p.mu.Lock()
	if p.running < p.slots {
		p.running++
		p.mu.Unlock()
		return nil
	}
	class := 0
	if overnight {
		class = 1
	}
	granted := make(chan struct{})
	p.waiting[class] = append(p.waiting[class], granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		p.cancelWait(class, granted)
		return ctx.Err()
	}
}

// cancelWait removes a request from the queue. If it was granted a slot
// meanwhile, it releases the slot.
func (p *slotPool) cancelWait(class int, granted chan struct{}) {
	p.mu.Lock()
	for i, other := range p.waiting[class] {
		if other == granted {
			p.waiting[class] = append(p.waiting[class][:i], p.waiting[class][i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	p.release()
}

// release passes the slot to the next waiting request, or frees it.
func (p *slotPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for class := range p.waiting {
		if len(p.waiting[class]) > 0 {
			close(p.waiting[class][0])
			p.waiting[class] = p.waiting[class][1:]
			return
		}
	}
	p.running--
}

// counts returns the numbers of running and of waiting requests.
func (p *slotPool) counts() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, len(p.waiting[0]) + len(p.waiting[1])
}
