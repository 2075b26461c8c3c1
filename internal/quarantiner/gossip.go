package quarantiner

import (
	"cmp"
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

// encode encodes the suspects that included selects, at most maxAttached. The mutex is held.
func (q *Quarantiner) encode(included func(*suspect) bool) []byte {
	now := q.config.Now()
	var selected []*suspect
	for _, s := range q.suspects {
		if included(s) {
			selected = append(selected, s)
		}
	}
	slices.SortFunc(selected, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.counted(now)), len(a.counted(now))), b.until.Compare(a.until), cmp.Compare(a.part, b.part))
	})
	if len(selected) == 0 {
		return nil
	}
	message := &quarantinerpb.Suspects{}
	for _, s := range selected[:min(len(selected), maxAttached)] {
		message.Suspects = append(message.Suspects, s.encode(now))
	}
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
	}
	if !s.soundAt.IsZero() {
		message.Sound = true
		message.SoundAge = int64(now.Sub(s.soundAt))
	}
	for _, crash := range s.crashes {
		message.Crashes = append(message.Crashes, &quarantinerpb.Crash{
			Engine: crash.engine,
			Age:    int64(now.Sub(crash.at)),
		})
	}
	return message
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
	return nil
}

// mergeSuspect adds what another instance knows of one suspect. The mutex is held.
func (q *Quarantiner) mergeSuspect(told *quarantinerpb.Suspect, now time.Time) {
	crashes := decodeCrashes(told.GetCrashes(), now)
	if len(crashes) == 0 && time.Duration(told.GetLeft()) <= 0 && q.suspects[told.GetPart()] == nil {
		return
	}
	s := q.suspect(told.GetPart(), now)
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
		})
	}
	return crashes
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
