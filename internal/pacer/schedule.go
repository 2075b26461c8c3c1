package pacer

import "time"

// burstTime is the time for which an upstream's unused capacity is kept. It covers the way of a request for permits
// and its answer between busy instances.
const burstTime = 200 * time.Millisecond

// maxTurnSpread bounds how far the times are spread at which instances without a permit ask again.
const maxTurnSpread = 10 * time.Second

// schedule spaces the permits of one upstream over all instances, at the holder of the upstream's duty.
type schedule struct {
	// epoch is the term for which the schedule was begun.
	epoch uint64
	// last is when the last permit was due. The next one is due an interval of the limit later, so that a changed
	// limit counts at once.
	last time.Time
	// turn is the time that the last instance without a permit was told to ask again.
	turn time.Time
	// granted is the number of permits so far.
	granted uint64
}

// newSchedule returns a schedule whose first permit is due at a time.
func newSchedule(epoch uint64, first time.Time, l limit) *schedule {
	return &schedule{
		epoch: epoch,
		last:  first.Add(-l.interval()),
	}
}

// take grants up to count permits. If it grants none, it returns the time until the next one may be had. The times
// of several instances differ, so that they do not all ask for the same permit.
func (s *schedule) take(now time.Time, l limit, count int) (granted int, wait time.Duration) {
	interval := l.interval()
	if earliest := now.Add(-burstTime - interval); s.last.Before(earliest) {
		s.last = earliest
	}
	next := s.last.Add(interval)
	if !next.After(now) {
		granted = min(count, int(now.Sub(next)/interval)+1)
		s.last = s.last.Add(time.Duration(granted) * interval)
		s.granted += uint64(granted)
	}
	if granted > 0 || count == 0 {
		return granted, 0
	}
	if s.turn.Before(next) || s.turn.Sub(next) > maxTurnSpread {
		s.turn = next
	}
	wait = s.turn.Sub(now)
	s.turn = s.turn.Add(interval)
	return 0, wait
}
