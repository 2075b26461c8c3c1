package quarantiner

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined. The crash of an engine may be a coincidence,
	// as may two.
	minCrashes = 3
	// settleTime is how long after the last of them a part is quarantined, so that an instance that knows it to be sound can
	// say so.
	settleTime = 300 * time.Millisecond
	// simultaneous is the time within which crashes of several engines count as one: a deadly prompt is at one engine at a
	// time, while a lost rack takes many engines.
	simultaneous = 250 * time.Millisecond
	// minDowntime is the time within which two reports about an engine are about the same crash.
	minDowntime = 2 * time.Second
	// minTerm is how long a part is quarantined the first time, and how long crashes count. Each further term is
	// twice as long, up to maxTerm.
	minTerm = 10 * time.Minute
	maxTerm = 24 * time.Hour
	// maxCrashes limits the crashes that are kept of a suspect.
	maxCrashes = 8
	// maxCommon limits the parts that are kept as common to a suspect's prompts.
	maxCommon = 64
)

// crashRecord is one crash of an engine.
type crashRecord struct {
	// engine is the hash of the engine's name.
	engine uint64
	at     time.Time
	// sent is when a request of the suspect was last sent to the engine.
	sent time.Time
}

// suspect is a part of prompts, or a request as a whole, under which engines crashed.
type suspect struct {
	part uint64
	// whole is set if part is the hash of a request as a whole.
	whole bool
	// crashes are the newest crashes at which a prompt with the part was about to be answered, or the request was running, in
	// order.
	crashes []crashRecord
	// common are the parts that all those prompts have in common, with this one.
	common []uint64
	// soundAt is when an engine last began to answer a prompt with the part, or completed the answer to the request; zero if
	// none did.
	soundAt time.Time
	// until is the end of the last quarantine, and term its length; zero if there was none.
	until time.Time
	term  time.Duration
}

// kind is the log field that the suspect's hash stands in.
func (s *suspect) kind() string {
	if s.whole {
		return "whole"
	}
	return "part"
}

// addCrash adds a crash and the parts of a prompt that was about to be answered. It reports whether it is new.
func (s *suspect) addCrash(crash crashRecord, prompt []uint64) bool {
	s.narrow(prompt)
	if i := s.find(crash); i >= 0 {
		if crash.sent.After(s.crashes[i].sent) {
			s.crashes[i].sent = crash.sent
		}
		return false
	}
	s.crashes = append(s.crashes, crash)
	slices.SortFunc(s.crashes, func(a, b crashRecord) int { return a.at.Compare(b.at) })
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	return true
}

// find returns the index of a crash that is known, or a negative number.
func (s *suspect) find(crash crashRecord) int {
	return slices.IndexFunc(s.crashes, func(known crashRecord) bool {
		return known.engine == crash.engine && crash.at.Sub(known.at).Abs() < minDowntime
	})
}

// has reports whether a crash is known.
func (s *suspect) has(crash crashRecord) bool { return s.find(crash) >= 0 }

// covers reports whether all of some crashes are known.
func (s *suspect) covers(crashes []crashRecord) bool {
	return !slices.ContainsFunc(crashes, func(crash crashRecord) bool { return !s.has(crash) })
}

// narrow removes the parts that a prompt lacks from those in common.
func (s *suspect) narrow(prompt []uint64) {
	if s.whole {
		return
	}
	if s.common == nil {
		s.common = slices.Clone(prompt[:min(len(prompt), maxCommon)])
		return
	}
	s.common = slices.DeleteFunc(s.common, func(part uint64) bool { return part != s.part && !slices.Contains(prompt, part) })
}

// lastCrash returns the time of the last crash; zero if there was none.
func (s *suspect) lastCrash() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].at
}

// counted returns the crashes that count against the part: those since an engine began to answer a prompt with it and
// since its last quarantine. Simultaneous ones count once, unless the same request was sent on after the one before.
func (s *suspect) counted(now time.Time) []crashRecord {
	var counted []crashRecord
	for _, crash := range s.crashes {
		switch {
		case !crash.at.After(s.soundAt) || !crash.at.After(s.until) || now.Sub(crash.at) > minTerm:
		case len(counted) > 0 && s.coincide(counted[len(counted)-1], crash):
		default:
			counted = append(counted, crash)
		}
	}
	return counted
}

// count returns the number of crashes that count against the part. Most suspects have one crash.
func (s *suspect) count(now time.Time) int {
	if len(s.crashes) == 0 || s.sound() {
		return 0
	}
	return len(s.counted(now))
}

// coincide reports whether two crashes, one after the other, may have a common cause that is not the suspect.
func (s *suspect) coincide(former, crash crashRecord) bool {
	resent := s.whole && crash.sent.After(former.at)
	return crash.at.Sub(former.at) < simultaneous && !resent
}

// due reports whether the part has to be quarantined. One crash suffices soon after a quarantine.
func (s *suspect) due(now time.Time) bool {
	if s.held(now) {
		return false
	}
	needed := minCrashes
	if s.term > 0 {
		needed = 1
	}
	if len(s.crashes) < needed {
		return false
	}
	counted := s.counted(now)
	return len(counted) >= needed && now.Sub(counted[needed-1].at) >= settleTime
}

// quarantine begins a quarantine.
func (s *suspect) quarantine(now time.Time) {
	s.term = min(max(minTerm, 2*s.term), maxTerm)
	s.until = now.Add(s.term)
}

// sound reports whether an engine began to answer a prompt with the part after the last crash.
func (s *suspect) sound() bool { return s.soundAt.After(s.lastCrash()) }

// release ends a quarantine that was a mistake, so that the next crash does not renew it.
func (s *suspect) release() { s.until, s.term = time.Time{}, 0 }

// held reports whether the part is quarantined.
func (s *suspect) held(now time.Time) bool { return now.Before(s.until) && !s.sound() }

// expired reports whether nothing of the suspect counts any more.
func (s *suspect) expired(now time.Time) bool {
	return now.Sub(s.lastCrash()) > minTerm && now.After(s.until.Add(s.term))
}
