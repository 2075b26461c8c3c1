package parser

import (
	"net/url"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// violation is a rule that the settings do not meet.
type violation struct {
	field   string
	problem string
}

// rule is one condition on a field and whether the settings meet it.
type rule struct {
	field     string
	satisfied bool
	problem   string
}

const (
	// Problems reported by several rules.
	mustBePositive = "must be above zero"
	mustBeFraction = "must lie between 0 and 1"
	// minSizeLimit is the minimum of callers.body and callers.headers, in bytes.
	minSizeLimit = 1 << 10
	// minHeads is the minimum of callers.heads, in bytes: the memory of a few headers of the default size that consist of the
	// shortest lines.
	minHeads = 8 << 20
)

// MinSilence is the minimum of limits.silence. An instance must detect within
// half of limits.silence that its own process was paused, and a pause counts only
// if it lasts at least a second.
const MinSilence = 3 * time.Second

// check returns the rules that the settings violate.
func check(s Settings) []violation {
	rules := slices.Concat(
		checkNames(s),
		checkListeners(s),
		checkTimes(s),
		checkCounts(s),
		checkChoices(s),
	)
	var violations []violation
	for _, rule := range rules {
		if !rule.satisfied {
			violations = append(violations, violation{
				field:   rule.field,
				problem: rule.problem,
			})
		}
	}
	return violations
}

// checkNames checks the names of the instance and its domain and the platform's
// address.
func checkNames(s Settings) []rule {
	address, err := url.Parse(s.Platform.URL)
	validURL := err == nil && address.Host != "" && (address.Scheme == "http" || address.Scheme == "https")
	return []rule{
		require("name", s.Name != "", "must not be empty"),
		require("domain", s.Domain != "", "must not be empty"),
		require("platform.url", validURL, "must be an http or https address"),
		require("limits.domains", slices.Contains(s.Limits.Domains, s.Domain), "must hold the instance's own failure domain"),
	}
}

// checkListeners checks the listen addresses. Port 0 lets the system choose a port
// and so never conflicts.
func checkListeners(s Settings) []rule {
	callers, operators, admin := s.Callers.Listen, s.Operators.Listen, s.Admin.Listen
	return []rule{
		require("callers.listen", callers.IsValid(), "must be an address and port"),
		require("peers.listen", s.Peers.Listen.IsValid(), "must be an address and port"),
		require("operators.listen", operators.IsValid() && (operators.Port() == 0 || operators != callers), "must be an address and port that no other listener uses"),
		require("admin.listen", admin.IsValid() && (admin.Port() == 0 || admin != callers && admin != operators), "must be an address and port that no other listener uses"),
	}
}

// checkTimes checks durations, each for its range and some against each other.
func checkTimes(s Settings) []rule {
	rules := []rule{
		require("membership.suspicion", s.Membership.Suspicion.Duration > s.Membership.Interval.Duration, "must be longer than membership.interval"),
		require("membership.death", s.Membership.Death.Duration > s.Membership.Suspicion.Duration, "must be longer than membership.suspicion"),
		require("duties.margin", s.Duties.Margin.Duration*2 < s.Duties.Lease.Duration, "must be less than half of duties.lease"),
		require("limits.silence", s.Limits.Silence.Duration >= MinSilence, "must be at least 3s"),
		require("duties.extension", s.Duties.Extension.Duration > s.Duties.Margin.Duration, "must be longer than duties.margin"),
	}
	for field, value := range map[string]Duration{
		"callers.reading":     s.Callers.Reading,
		"callers.timeout":     s.Callers.Timeout,
		"callers.overnight":   s.Callers.Overnight,
		"platform.timeout":    s.Platform.Timeout,
		"platform.list":       s.Platform.List,
		"membership.interval": s.Membership.Interval,
		"duties.lease":        s.Duties.Lease,
		"duties.margin":       s.Duties.Margin,
		"limits.interval":     s.Limits.Interval,
		"limits.silence":      s.Limits.Silence,
		"routing.interval":    s.Routing.Interval,
		"routing.cooling":     s.Routing.Cooling,
		"loading.idle":        s.Loading.Idle,
		"loading.expiry":      s.Loading.Expiry,
		"shutdown.drain":      s.Shutdown.Drain,
	} {
		rules = append(rules, rule{
			field:     field,
			satisfied: value.Duration > 0 && value.Duration <= 30*24*time.Hour,
			problem:   "must be above zero and at most 720h",
		})
	}
	return rules
}

// checkCounts checks sizes, counts, rates and fractions.
func checkCounts(s Settings) []rule {
	return []rule{
		require("callers.body", s.Callers.Body >= minSizeLimit, "must be at least 1024"),
		require("callers.headers", s.Callers.Headers >= minSizeLimit, "must be at least 1024"),
		require("callers.heads", s.Callers.Heads >= minHeads, "must be at least 8388608"),
		require("callers.tokens", s.Callers.Tokens > 0, mustBePositive),
		require("callers.connections", s.Callers.Connections > 0, mustBePositive),
		require("platform.reads", s.Platform.Reads > 0, mustBePositive),
		require("platform.writes", s.Platform.Writes > 0, mustBePositive),
		require("membership.neighbours", s.Membership.Neighbours > 0, mustBePositive),
		require("membership.bridges", s.Membership.Bridges >= 0, "must not be negative"),
		require("duties.limits", s.Duties.Limits > 0, mustBePositive),
		require("duties.placements", s.Duties.Placements > 0, mustBePositive),
		require("limits.reserve", s.Limits.Reserve >= 0 && s.Limits.Reserve <= 1, mustBeFraction),
		require("limits.slack", s.Limits.Slack >= 0, "must not be negative"),
		require("limits.instances", s.Limits.Instances > 0, mustBePositive),
		require("waiting.requests", s.Waiting.Requests >= 0, "must not be negative"),
		require("waiting.overnight", s.Waiting.Overnight >= 0 && s.Waiting.Overnight <= s.Waiting.Requests, "must lie between 0 and waiting.requests"),
		require("routing.running", s.Routing.Running > 0, mustBePositive),
		require("routing.failures", s.Routing.Failures > 0, mustBePositive),
		require("routing.head", s.Routing.Head > 0, mustBePositive),
		require("routing.answers", s.Routing.Answers > 0, mustBePositive),
		require("routing.answer", s.Routing.Answer > 0, mustBePositive),
		require("routing.event", s.Routing.Event > 0 && int64(s.Routing.Event) <= s.Routing.Answer, "must be positive and at most routing.answer"),
		require("routing.retries", s.Routing.Retries >= 0 && s.Routing.Retries <= 1, mustBeFraction),
		require("loading.loads", s.Loading.Loads > 0, mustBePositive),
		require("loading.slots", s.Loading.Slots > 0, mustBePositive),
		require("loading.adapters", s.Loading.Adapters > 0, mustBePositive),
	}
}

// checkChoices checks the settings that allow a fixed set of values.
func checkChoices(s Settings) []rule {
	_, err := logrus.ParseLevel(s.Log.Level)
	modes := []string{LimitLoans, LimitEqual, LimitHome}
	policies := []string{EvictCost, EvictAge}
	return []rule{
		require("limits.mode", slices.Contains(modes, s.Limits.Mode), `must be "loans", "equal" or "home"`),
		require("loading.policy", slices.Contains(policies, s.Loading.Policy), `must be "cost" or "age"`),
		require("log.level", err == nil, `must be "debug", "info", "warning" or "error"`),
	}
}

// require returns a rule; problem is reported unless satisfied is set.
func require(field string, satisfied bool, problem string) rule {
	return rule{
		field:     field,
		satisfied: satisfied,
		problem:   problem,
	}
}
