package coldstarter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/placer"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

const (
	gigabyte = 1e9
	// engineBytes is the accelerator memory of an engine, in bytes.
	engineBytes = 80 * gigabyte
	// zipfExponent is the exponent of Zipf's law for the models' popularity.
	zipfExponent = 1.1
	// sessionRequests is the mean number of requests in a session.
	sessionRequests = 12
	// requestTokens is the number of tokens that a request adds to its session.
	requestTokens = 500
	// sessionGap is the mean time between the requests of a session.
	sessionGap = 10 * time.Second
	// shiftModels is the number of models that are requested at once at each full hour.
	shiftModels = 12
	// shiftSpan is the time within which their sessions begin.
	shiftSpan = 10 * time.Second
	// teamCount is the number of teams.
	teamCount = 5
)

// Site describes the fleet and workload of one of the users.
type Site struct {
	// Name is the user's name.
	Name string
	// Engines is the number of model engines in all domains.
	Engines int
	// Models is the number of models.
	Models int
	// Sessions is the mean number of sessions per hour over a day, in all domains.
	Sessions float64
	// Seed seeds the random workload.
	Seed uint64
	// Shift is the number of models that are requested at once at each full hour; zero means shiftModels.
	Shift int
	// Recurring is the share of the models of a shift that are the same each day.
	Recurring float64
	// Spread is the time within which the sessions of a shift begin, if it is longer than shiftSpan.
	Spread time.Duration
}

// sites are the present sites of both users.
var sites = []Site{
	{
		Name:     "kreti",
		Engines:  20,
		Models:   60,
		Sessions: 100,
		Seed:     1,
	},
	{
		Name:     "bula",
		Engines:  12,
		Models:   25,
		Sessions: 50,
		Seed:     2,
	},
}

// domainNames are the names of the three failure domains.
var domainNames = []string{"a", "b", "c"}

const (
	// medianBytes and sizeSigma are the median, in bytes, and the sigma of the
	// models' sizes, whose distribution is log-normal.
	medianBytes = 11 * gigabyte
	sizeSigma   = 0.7
	// minBytes and maxBytes are the bounds of the sizes, in bytes.
	minBytes = 2 * gigabyte
	maxBytes = 60 * gigabyte
)

// bytesOf returns the size of a model, in bytes.
func (s Site) bytesOf(model int) int64 {
	random := rand.New(rand.NewPCG(s.Seed, uint64(model)+1000))
	return int64(min(maxBytes, max(minBytes, medianBytes*math.Exp(sizeSigma*random.NormFloat64()))))
}

// popularityOf returns a model's share of the sessions, by Zipf's law.
func (s Site) popularityOf(model int) float64 {
	sum := 0.0
	for rank := range s.Models {
		sum += math.Pow(float64(rank+1), -zipfExponent)
	}
	return math.Pow(float64(model+1), -zipfExponent) / sum
}

// catalog returns a catalog of the site's models, each with one version and one copy per domain.
func (s Site) catalog() placer.Catalog {
	models := make([]configurator.Model, s.Models)
	byName := map[string]configurator.Model{}
	versions := map[string]configurator.Version{}
	for i := range models {
		name := modelName(i)
		models[i] = configurator.Model{
			Name:     name,
			Version:  "v1",
			Replicas: 1,
		}
		byName[name] = models[i]
		versions[name] = configurator.Version{
			Model:      name,
			Name:       "v1",
			Checkpoint: name,
			Bytes:      s.bytesOf(i),
		}
	}
	version := func(checkpoint string) (configurator.Version, bool) {
		found, ok := versions[checkpoint]
		return found, ok
	}
	return placer.Catalog{
		Model: func(name string) (configurator.Model, bool) {
			found, ok := byName[name]
			return found, ok
		},
		Models:     func() []configurator.Model { return models },
		Version:    func(model, _ string) (configurator.Version, bool) { return version(model) },
		Checkpoint: version,
		Adapter:    func(string) (configurator.Adapter, bool) { return configurator.Adapter{}, false },
		Upstream: func(name string) (configurator.Upstream, bool) {
			return configurator.Upstream{
				Name:  name,
				Bytes: engineBytes,
			}, true
		},
		VersionWithdrawn: func(configurator.Version) bool { return false },
		AdapterWithdrawn: func(configurator.Adapter) bool { return false },
	}
}

// modelName returns the name of a model, which is also the name of its only checkpoint.
func modelName(index int) string { return fmt.Sprintf("m%03d", index) }
