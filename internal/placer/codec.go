package placer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/placer/placerpb"
)

// encodeWants encodes demand for the holder. The times of requests are sent as ages, which
// do not depend on the sender's clock; deadlines are sent as absolute times.
func encodeWants(sequence uint64, full bool, wants []Want, now time.Time) *placerpb.Wants {
	message := &placerpb.Wants{
		Sequence: sequence,
		Whole:    full,
		Wants:    make([]*placerpb.Want, len(wants)),
	}
	for i, want := range wants {
		message.Wants[i] = &placerpb.Want{
			Model:       want.Key.Model,
			Version:     want.Key.Version,
			Adapter:     want.Key.Adapter,
			Waiting:     uint32(want.Waiting),
			Tokens:      uint64(max(0, want.Tokens)),
			Recent:      want.Recent,
			Earliest:    unixNanos(want.Earliest),
			Latest:      unixNanos(want.Latest),
			Age:         int64(now.Sub(want.Used)),
			Interactive: want.Interactive,
			Team:        want.Team,
		}
		if want.Waiting > 0 {
			message.Wants[i].Since = int64(now.Sub(want.Since))
		}
	}
	return message
}

// decodeWants decodes a message of demand that was received at now.
func decodeWants(message *placerpb.Wants, now time.Time) []Want {
	wants := make([]Want, len(message.GetWants()))
	for i, want := range message.GetWants() {
		wants[i] = Want{
			Key: Key{
				Model:   want.GetModel(),
				Version: want.GetVersion(),
				Adapter: want.GetAdapter(),
			},
			Waiting:     int(want.GetWaiting()),
			Tokens:      int64(want.GetTokens()),
			Recent:      want.GetRecent(),
			Used:        now.Add(-time.Duration(max(0, want.GetAge()))),
			Earliest:    fromUnixNanos(want.GetEarliest()),
			Latest:      fromUnixNanos(want.GetLatest()),
			Interactive: want.GetInteractive(),
			Team:        want.GetTeam(),
		}
		if want.GetWaiting() > 0 {
			wants[i].Since = now.Add(-time.Duration(max(0, want.GetSince())))
		}
	}
	return wants
}

// unixNanos returns a time as nanoseconds since 1970, and zero for the zero time.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNanos returns the time that unixNanos encoded.
func fromUnixNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
