package spreader

import (
	"context"
	"slices"
	"sync"

	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
)

// multicast is the distribution of one message along a tree. It sends to at most Config.Fanout
// instances, each of which relays the message to a part of the others.
type multicast struct {
	spreader *Spreader
	push     *spreaderpb.Push
	group    sync.WaitGroup

	mutex sync.Mutex
	// reached are the instances where the content is in force.
	reached []string
}

// multicast sends a message to all targets, and returns the names of the instances where the
// content is in force.
func (s *Spreader) multicast(ctx context.Context, push *spreaderpb.Push, targets []*spreaderpb.Target) []string {
	m := &multicast{
		spreader: s,
		push:     push,
	}
	for _, part := range split(targets, s.config.Fanout) {
		b := &branch{
			multicast: m,
			targets:   part,
		}
		m.group.Add(1)
		go b.run(ctx)
	}
	m.group.Wait()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.reached)
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

// relayLevels returns the number of levels of the tree by which a message reaches the given
// number of instances.
func relayLevels(targets, fanout int) int {
	depth := 0
	for targets > 0 {
		targets = (targets - 1) / max(fanout, 1)
		depth++
	}
	return depth
}
