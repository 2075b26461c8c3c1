package admissionmeter

import "time"

// idealBucket is a single token bucket for the entire fleet that knows in advance
// how many tokens each request will use.
type idealBucket struct {
	level     float64
	updatedAt time.Time
}

// admit reports whether the bucket admits a request, and takes the used tokens if so.
func (b *idealBucket) admit(team teamLoad, c requestRecord) bool {
	b.level = min(float64(team.burst), b.level+team.rate*c.arrivedAt.Sub(b.updatedAt).Seconds())
	b.updatedAt = c.arrivedAt
	if b.level < c.tokens {
		return false
	}
	b.level -= c.used
	return true
}
