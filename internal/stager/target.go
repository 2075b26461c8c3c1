package stager

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// target is a duty of a failure domain that could load a model.
type target struct {
	domain string
	number int
	// near is how near the weights are to one of its engines; more is nearer.
	near int
	hash uint64
}

// targets lists the duties with engines of a service, in the order in which
// they are asked for a model.
func (s *Stager) targets(service, checkpoint string) []target {
	found := map[target]int{}
	for _, upstream := range s.config.Upstreams() {
		if upstream.Role != storer.RoleEngine || upstream.Service != service || upstream.Leaving {
			continue
		}
		row, ok := s.config.Row(upstream.Name)
		if !ok {
			continue
		}
		key := target{
			domain: upstream.Domain,
			number: s.group(upstream.Name),
		}
		found[key] = max(found[key], nearness(row.Report.Cached[checkpoint]))
	}
	targets := make([]target, 0, len(found))
	for key, near := range found {
		key.near = near
		key.hash = hashOf(key.domain, strconv.Itoa(key.number), checkpoint)
		targets = append(targets, key)
	}
	slices.SortFunc(targets, target.compare)
	return targets
}

func (t target) compare(other target) int {
	switch {
	case t.near != other.near:
		return other.near - t.near
	case t.hash < other.hash:
		return -1
	default:
		return 1
	}
}

func nearness(place reporter.Place) int {
	switch place {
	case reporter.PlaceMemory:
		return 2
	case reporter.PlaceDisk:
		return 1
	default:
		return 0
	}
}

func hashOf(texts ...string) uint64 {
	hash := fnv.New64a()
	for _, text := range texts {
		_, _ = hash.Write([]byte(text))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
