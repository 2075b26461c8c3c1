package pacer

import "time"

// burstTime is the time for which an upstream's unused capacity is kept.
const burstTime = 500 * time.Millisecond

// maxTurnSpread bounds how far the times are spread at which instances without a permit ask again.
const maxTurnSpread = 10 * time.Second

// schedule spaces the permits of one upstream over all instances, at the holder of the upstream's duty.
type schedule struct {
	// epoch is the term for which the schedule was begun.
	epoch uint64
	// next is when the next permit is due.
	next time.Time
	// turn is the time that the last instance without a permit was told to ask again.
	turn time.Time
	// granted is the number of permits so far.
	granted uint64
}

// newSchedule returns a schedule that gives its first permit at a time.
func newSchedule(epoch uint64, first time.Time) *schedule {
	return &schedule{
		epoch: epoch,
		next:  first,
	}
}

// take grants up to count permits. If it grants fewer, it returns the time until the next one may be had. The times
// of several instances differ, so that they do not all ask for the same permit.
func (s *schedule) take(now time.Time, l limit, count int) (granted int, wait time.Duration) {
	interval := l.interval()
	if earliest := now.Add(-burstTime); s.next.Before(earliest) {
		s.next = earliest
	}
	if latest := now.Add(interval); s.next.After(latest) {
		s.next = latest
	}
	if !s.next.After(now) {
		granted = min(count, int(now.Sub(s.next)/interval)+1)
		s.next = s.next.Add(time.Duration(granted) * interval)
		s.granted += uint64(granted)
	}
	if granted > 0 || count == 0 {
		return granted, 0
	}
	if s.turn.Before(s.next) || s.turn.Sub(s.next) > maxTurnSpread {
		s.turn = s.next
	}
	wait = s.turn.Sub(now)
	s.turn = s.turn.Add(interval)
	return 0, wait
}
