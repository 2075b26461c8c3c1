package quarantiner

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/quarantiner/quarantinerpb"
)

const (
	// maxAttached limits the suspects in one message.
	maxAttached = 12
	// attachTime is how long after a crash its suspects are in heartbeats.
	attachTime = 15 * time.Second
)

// Attachment returns the suspects for a heartbeat: those that are quarantined, have more than one crash or are new. It is
// empty while there are none.
func (q *Quarantiner) Attachment() []byte {
	if q.count.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	q.prune(now)
	return q.encode(func(s *suspect) bool {
		return s.held(now) || len(s.counted(now)) > 1 || now.Sub(s.lastCrash()) < attachTime
	})
}

// HandleAttachment applies the suspects in the attachment of a peer's heartbeat.
func (q *Quarantiner) HandleAttachment(from messenger.Peer, attachment []byte) {
	if err := q.merge(attachment); err != nil {
		q.config.Log.WithField("peer", from.Name).WithError(err).Warn("part.malformed")
	}
}

// encode encodes the suspects that included selects, at most maxAttached: the most important ones, and some of the others in
// turn. The mutex is held.
func (q *Quarantiner) encode(included func(*suspect) bool) []byte {
	now := q.config.Now()
	selected := slices.DeleteFunc(q.ranked(now), func(s *suspect) bool { return !included(s) })
	if len(selected) > maxAttached {
		rest := selected[maxAttached/2:]
		q.turn = (q.turn + maxAttached/2) % len(rest)
		rest = append(slices.Clone(rest[q.turn:]), rest[:q.turn]...)
		selected = append(selected[:maxAttached/2:maxAttached/2], rest...)
	}
	message := &quarantinerpb.Suspects{}
	for _, s := range selected[:min(len(selected), maxAttached)] {
		message.Suspects = append(message.Suspects, s.encode(now))
	}
	return q.marshal(message)
}

// marshal encodes a message; nil if it is empty or that fails.
func (q *Quarantiner) marshal(message *quarantinerpb.Suspects) []byte {
	encoded, err := proto.Marshal(message)
	if err != nil {
		q.config.Log.WithError(err).Warn("part.unencoded")
		return nil
	}
	return encoded
}

// encode converts the suspect to its wire format, with ages in place of times.
func (s *suspect) encode(now time.Time) *quarantinerpb.Suspect {
	message := &quarantinerpb.Suspect{
		Part:   s.part,
		Common: s.common,
		Term:   int64(s.term),
		Left:   int64(s.until.Sub(now)),
		Whole:  s.whole,
	}
	if !s.soundAt.IsZero() {
		message.Sound = true
		message.SoundAge = int64(now.Sub(s.soundAt))
	}
	for _, crash := range s.crashes {
		message.Crashes = append(message.Crashes, crash.encode(now))
	}
	return message
}

// encode converts a crash to its wire format.
func (c crashRecord) encode(now time.Time) *quarantinerpb.Crash {
	return &quarantinerpb.Crash{
		Engine:  c.engine,
		Age:     int64(now.Sub(c.at)),
		SentAge: int64(now.Sub(c.sent)),
	}
}

// merge adds what another instance knows. It returns *Malformed.
func (q *Quarantiner) merge(payload []byte) error {
	message := &quarantinerpb.Suspects{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return &Malformed{
			Cause: err,
		}
	}
	now := q.config.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, told := range message.GetSuspects()[:min(len(message.GetSuspects()), maxAttached)] {
		q.mergeSuspect(told, now)
	}
	for _, told := range message.GetSightings()[:min(len(message.GetSightings()), 1)] {
		q.mergeSighting(told, now)
	}
	return nil
}

// mergeSuspect adds what another instance knows of one suspect. The mutex is held.
func (q *Quarantiner) mergeSuspect(told *quarantinerpb.Suspect, now time.Time) {
	crashes := decodeCrashes(told.GetCrashes(), now)
	if len(crashes) == 0 && time.Duration(told.GetLeft()) <= 0 && q.suspects[told.GetPart()] == nil {
		return
	}
	s := q.suspect(told.GetPart(), told.GetWhole(), now)
	for _, crash := range crashes {
		s.addCrash(crash, told.GetCommon())
	}
	if age := time.Duration(told.GetSoundAge()); told.GetSound() && age >= 0 && now.Add(-age).After(s.soundAt) {
		s.soundAt = now.Add(-age)
	}
	if s.sound() {
		s.release()
		return
	}
	s.extend(now, time.Duration(told.GetLeft()), time.Duration(told.GetTerm()))
}

// decodeCrashes converts crashes from their wire format, without those whose age is impossible or too old.
func decodeCrashes(told []*quarantinerpb.Crash, now time.Time) []crashRecord {
	var crashes []crashRecord
	for _, crash := range told {
		age := time.Duration(crash.GetAge())
		if age < 0 || age > minTerm || len(crashes) == maxCrashes {
			continue
		}
		crashes = append(crashes, crashRecord{
			engine: crash.GetEngine(),
			at:     now.Add(-age),
			sent:   now.Add(-boundedAge(crash.GetSentAge())),
		})
	}
	return crashes
}

// boundedAge converts an age from its wire format; an impossible one counts as very old.
func boundedAge(nanoseconds int64) time.Duration {
	if age := time.Duration(nanoseconds); age >= 0 && age < minTerm {
		return age
	}
	return minTerm
}

// mergeSighting adds a crash that another instance has seen. The mutex is held.
func (q *Quarantiner) mergeSighting(told *quarantinerpb.Sighting, now time.Time) {
	records := decodeCrashes([]*quarantinerpb.Crash{told.GetCrash()}, now)
	if len(records) == 0 {
		return
	}
	var attempts []Attempt
	for _, request := range told.GetRequests()[:min(len(told.GetRequests()), maxPending)] {
		attempts = append(attempts, Attempt{
			Request: Request{
				Parts: request.GetParts()[:min(len(request.GetParts()), maxCommon)],
				Whole: request.GetWhole(),
			},
			Sent: now.Add(-boundedAge(request.GetSentAge())),
		})
	}
	q.add(records[0], attempts)
}

// extend takes over a longer quarantine.
func (s *suspect) extend(now time.Time, left, term time.Duration) {
	if left <= 0 || left > maxTerm || term < left || term > maxTerm {
		return
	}
	if until := now.Add(left); until.Sub(s.until) > simultaneous {
		s.until, s.term = until, max(s.term, term)
	}
}
