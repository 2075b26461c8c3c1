package pacer

import (
	"math"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/pacer/pacerpb"
)

const (
	// minRate is the lowest rate at which requests are sent, in requests per second. Only an answer shows that
	// a limit of zero has ended.
	minRate = 0.05
	// maxRate is the highest rate that is kept to, in requests per second; a limit above it has no effect on any site.
	maxRate = 1e6
	// maxCold is the longest time for which an engine is believed to be cold.
	maxCold = time.Minute
	// relayTolerance is the error of the age of knowledge that peers have passed on.
	relayTolerance = 50 * time.Millisecond
	// rateTolerance is the fraction by which a limit may change without being reported at once. Requests for permits
	// and heartbeats carry the new rate anyway.
	rateTolerance = 0.1
	// foreignEndDelay is how much later than the last answer with a limit that this instance got itself a peer
	// must have got one without, for the limit to end here as well.
	foreignEndDelay = 2 * time.Second
)

// limit is what is known of the limit of an upstream.
type limit struct {
	// limited is set while the upstream states a limit, and rate is that limit in requests per second.
	limited bool
	rate    float64
	// at is when the answer that stated the limit arrived, or when the request was sent whose answer stated none.
	at time.Time
	// cold is when the upstream is cold, and the limit that it has then besides.
	cold coldness
}

// effective returns the limit that holds at a time: the stated one or that of a cold engine, whichever is lower.
func (l limit) effective(now time.Time) limit {
	if !l.cold.holds(now) || l.limited && l.rate <= l.cold.rate {
		return l
	}
	l.limited, l.rate = true, l.cold.rate
	return l
}

// supersedes reports whether knowledge that a peer has passed on replaces what is known here. Of two limits stated at
// about the same time, the lower one holds.
func (l limit) supersedes(known limit) bool {
	if l.at.After(known.at.Add(relayTolerance)) {
		return true
	}
	return l.limited && l.at.After(known.at.Add(-relayTolerance)) && (!known.limited || l.rate < known.rate)
}

// differs reports whether the limit has begun, ended or changed by more than rateTolerance.
func (l limit) differs(other limit) bool {
	if l.limited != other.limited {
		return true
	}
	return math.Abs(l.rate-other.rate) > rateTolerance*other.rate
}

// interval returns the time between two requests at the rate of the limit.
func (l limit) interval() time.Duration {
	return time.Duration(float64(time.Second) / min(max(l.rate, minRate), maxRate))
}

// encode returns the wire form of the limit.
func (l limit) encode(upstream Upstream, now time.Time) *pacerpb.Limit {
	message := &pacerpb.Limit{
		Upstream: upstream.Name,
		Start:    upstream.Start,
		Domain:   upstream.Domain,
		Ended:    !l.limited,
		Rate:     l.rate,
		Age:      int64(max(0, now.Sub(l.at))),
	}
	if l.cold.holds(now) {
		message.Cold, message.Left = l.cold.rate, int64(l.cold.until.Sub(now))
	}
	return message
}

// decodeLimit returns the upstream and the limit of a message.
func decodeLimit(message *pacerpb.Limit, now time.Time) (Upstream, limit) {
	upstream := Upstream{
		Name:   message.GetUpstream(),
		Start:  message.GetStart(),
		Domain: message.GetDomain(),
	}
	decoded := limit{
		limited: !message.GetEnded(),
		rate:    message.GetRate(),
		at:      now.Add(-time.Duration(max(0, message.GetAge()))),
	}
	if !(decoded.rate >= 0) {
		decoded.rate = 0
	}
	if left := time.Duration(message.GetLeft()); left > 0 && left <= maxCold && message.GetCold() >= 0 {
		decoded.cold = coldness{
			until: now.Add(left),
			rate:  message.GetCold(),
		}
	}
	return upstream, decoded
}
