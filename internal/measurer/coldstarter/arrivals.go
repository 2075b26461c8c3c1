package coldstarter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// day is the period of the daily pattern.
const day = 24 * time.Hour

// startTimeOfDay is the time of day at which the simulation begins, after midnight.
const startTimeOfDay = 8 * time.Hour

// arrival is one request of the workload.
type arrival struct {
	// at is the time since the start of the simulation.
	at     time.Duration
	domain int
	model  int
	// turn is the number of earlier requests in its session.
	turn int
	// gap is the time until the next request of its session; zero if it is the last.
	gap time.Duration
}

// arrivals generates the requests of a site, spread over all domains: sessions by
// the models' popularity and the time of day, and at each full hour a shift, in
// which sessions of many models begin at once.
func (s Site) arrivals(span time.Duration) []arrival { return s.arrivalsOn(0, span) }

// arrivalsOn generates the requests of one day. Days differ in all but the
// recurring part of the shifts. Sessions are generated at twice their mean rate
// and thinned to the rate of the time of day, which stays below that.
func (s Site) arrivalsOn(date uint64, span time.Duration) []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 7+date))
	var all []arrival
	for model := range s.Models {
		rate := s.Sessions * s.popularityOf(model) / time.Hour.Seconds()
		for at := 0.0; at < span.Seconds(); {
			at += random.ExpFloat64() / (rate * 2)
			if random.Float64()*2 < relativeRate(at) {
				all = append(all, session(random, at, model)...)
			}
		}
	}
	for hour := time.Hour; hour < span; hour += time.Hour {
		all = append(all, s.shift(random, hour)...)
	}
	all = slices.DeleteFunc(all, func(a arrival) bool { return a.at >= span })
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// shift generates the requests of the sessions that begin at a full hour. The
// recurring ones are for the same models each day.
func (s Site) shift(random *rand.Rand, hour time.Duration) []arrival {
	var all []arrival
	recurringRandom := rand.New(rand.NewPCG(s.Seed, uint64(hour)))
	for range cmp.Or(s.Shift, shiftModels) {
		at := (hour + time.Duration(random.Float64()*float64(max(shiftSpan, s.Spread)))).Seconds()
		model := recurringRandom.IntN(s.Models)
		if s.Recurring == 0 || random.Float64() >= s.Recurring {
			model = random.IntN(s.Models)
		}
		all = append(all, session(random, at, model)...)
	}
	return all
}

// relativeRate returns the rate of sessions relative to the day's mean, a number
// of seconds after the start: lowest at midnight, highest at noon.
func relativeRate(at float64) float64 {
	return 1 - 0.8*math.Cos(2*math.Pi*(at+startTimeOfDay.Seconds())/day.Seconds())
}

// session generates the requests of one session, which begins start seconds after
// the simulation does. The platform's load balancer spreads them over the domains.
func session(random *rand.Rand, start float64, model int) []arrival {
	var requests []arrival
	at := start
	for {
		requests = append(requests, arrival{
			at:     time.Duration(at * float64(time.Second)),
			domain: random.IntN(len(domainNames)),
			model:  model,
			turn:   len(requests),
		})
		if random.Float64() < 1.0/sessionRequests {
			return requests
		}
		gap := random.ExpFloat64() * sessionGap.Seconds()
		requests[len(requests)-1].gap = seconds(gap)
		at += gap
	}
}
