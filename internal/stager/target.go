package stager

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// target is a duty of a failure domain whose engines could load a model.
type target struct {
	domain string
	number int
	// locality ranks where the duty's engines have the weights; higher means faster to load.
	locality int
	// hash breaks ties, in the same order on all instances.
	hash uint64
}

// targets returns the duties that have engines of a service, in the order in which their
// holders are requested to load a model. All instances compute the same order from the same
// lists.
func (s *Stager) targets(service, checkpoint string) []target {
	localities := map[target]int{}
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
			number: s.dutyNumber(upstream.Name),
		}
		localities[key] = max(localities[key], localityOf(row.Report.Cached[checkpoint]))
	}
	targets := make([]target, 0, len(localities))
	for key, locality := range localities {
		key.locality = locality
		key.hash = hashStrings(key.domain, strconv.Itoa(key.number), checkpoint)
		targets = append(targets, key)
	}
	slices.SortFunc(targets, target.compare)
	return targets
}

// compare orders targets by locality, the highest first, then by hash.
func (t target) compare(other target) int {
	switch {
	case t.locality != other.locality:
		return other.locality - t.locality
	case t.hash < other.hash:
		return -1
	default:
		return 1
	}
}

// localityOf ranks the place of cached weights: memory before disk before the weight store.
func localityOf(place reporter.Place) int {
	switch place {
	case reporter.PlaceMemory:
		return 2
	case reporter.PlaceDisk:
		return 1
	default:
		return 0
	}
}

// hashStrings hashes strings, each ended by a zero byte so that they cannot run together.
func hashStrings(texts ...string) uint64 {
	hash := fnv.New64a()
	for _, text := range texts {
		_, _ = hash.Write([]byte(text))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
