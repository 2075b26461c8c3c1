package spreader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
)

// fan is the fan-out of one message. It sends to a bounded number of instances, each of which
// relays to a part of the others.
type fan struct {
	spreader *Spreader
	push     *spreaderpb.Push
	group    sync.WaitGroup

	mutex sync.Mutex
	// reached are the instances that have the content in force.
	reached []string
}

// spread sends a message to all targets, and returns the names of the instances where the
// content is in force.
func (s *Spreader) spread(ctx context.Context, push *spreaderpb.Push, targets []*spreaderpb.Target) []string {
	f := &fan{
		spreader: s,
		push:     push,
	}
	for _, part := range split(targets, s.config.Fanout) {
		b := &branch{
			fan:     f,
			targets: part,
		}
		f.group.Add(1)
		go b.run(ctx)
	}
	f.group.Wait()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.reached)
}

// split splits the targets into at most the given number of consecutive parts.
func split(targets []*spreaderpb.Target, parts int) [][]*spreaderpb.Target {
	var divided [][]*spreaderpb.Target
	for parts = min(parts, len(targets)); parts > 0; parts-- {
		size := (len(targets) + parts - 1) / parts
		divided = append(divided, targets[:size])
		targets = targets[size:]
	}
	return divided
}

// branch sends to its first target, which relays to the others. If that target fails or is
// slow, the next one takes its place.
type branch struct {
	fan     *fan
	targets []*spreaderpb.Target
}

// run tries the targets one after another until one answers for the rest, without giving up on
// slow ones.
func (b *branch) run(ctx context.Context) {
	defer b.fan.group.Done()
	results := make(chan bool, len(b.targets))
	pending := 0
	for i, target := range b.targets {
		a := &attempt{
			fan:     b.fan,
			target:  target,
			rest:    b.targets[i+1:],
			results: results,
		}
		go a.run(ctx)
		pending++
		answered, done := b.await(ctx, results)
		if done || ctx.Err() != nil {
			return
		}
		if answered {
			pending--
		}
	}
	for ; pending > 0; pending-- {
		select {
		case <-ctx.Done():
			return
		case done := <-results:
			if done {
				return
			}
		}
	}
}

// await waits for a result for as long as one instance may take. Done reports that a target
// has answered for itself and those that it relays to.
func (b *branch) await(ctx context.Context, results chan bool) (answered, done bool) {
	timer := time.NewTimer(b.fan.spreader.config.LeafTimeout)
	defer timer.Stop()
	select {
	case done = <-results:
		return true, done
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, false
}

// relayLevels returns the number of relay levels that a message to so many instances takes.
func relayLevels(targets, fanout int) int {
	depth := 0
	for targets > 0 {
		targets = (targets - 1) / max(fanout, 1)
		depth++
	}
	return depth
}
