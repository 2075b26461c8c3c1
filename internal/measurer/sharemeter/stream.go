package sharemeter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// stream sends the requests of one team.
type stream struct {
	load   *load
	result *teamResult
	// home is the index of the team's home instance.
	home   int
	random *rand.Rand
	group  *sync.WaitGroup
}

// run sends requests at a fixed interval until the duration of the load has passed.
func (s *stream) run(ctx context.Context) {
	defer s.group.Done()
	interval := time.Duration(float64(time.Second) * requestCost / (s.result.team.rate * s.result.team.load))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; time.Since(s.load.startedAt) < s.load.duration; n++ {
		<-ticker.C
		c := &call{
			stream:   s,
			instance: s.pickInstance(),
			number:   n,
		}
		s.group.Add(1)
		go c.run(ctx)
	}
}

// pickInstance returns the team's home instance with the probability homeShare, and
// otherwise a random one.
func (s *stream) pickInstance() *starter.Process {
	instances := s.load.fixture.site.Instances
	if s.random.Float64() < homeShare {
		return instances[s.home]
	}
	return instances[s.random.IntN(len(instances))]
}

// call is one request of a stream.
type call struct {
	stream   *stream
	instance *starter.Process
	number   int
}

func (c *call) run(ctx context.Context) {
	defer c.stream.group.Done()
	result := c.stream.result
	answer := c.stream.load.sendRequest(ctx, result.team, c.instance, fmt.Sprint(c.number))
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.offered++
	switch {
	case answer.Complete:
		result.answered++
	case answer.Code == "rate_limited":
		result.refused++
	case answer.Status == 0:
		result.failed++
	default:
		result.otherRefused++
	}
}
