package server

import (
	"slices"
	"strings"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// restrictDomains restricts a request to the failure domains of the regions that its route, if it has one, and its team allow.
// Where both allow some only, both bind. It refuses a request that no failure domain may get.
func (e *exchange) restrictDomains(route []string) *refuser.Refusal {
	domainsOf := e.server.config.DomainsOf
	var team []string
	if e.authenticated {
		record, _ := e.server.config.Snapshot().Team(e.key.Team)
		team = record.Regions
	}
	if domainsOf == nil || len(route)+len(team) == 0 {
		return nil
	}
	e.need.Bound, e.need.Domains = true, domainsOf(commonRegions(route, team))
	if len(e.need.Domains) == 0 {
		return newRefusal(refuser.CodeNoUpstream, "no failure domain is in the regions that the request may go to")
	}
	return nil
}

// commonRegions returns the regions that two lists allow. An empty list allows all, but not both are empty.
func commonRegions(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	var common []string
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common
}

// refuseIfAway refuses a request to a plain service at once that would wait for an upstream in vain: all are in evacuated failure
// domains, or none is in one that the request may go to.
func (e *exchange) refuseIfAway() *refuser.Refusal {
	if refusal := e.server.refuseStranded(e.need, ""); refusal != nil {
		return refusal
	}
	count := e.server.config.CountReady
	if !e.need.Bound || count == nil || count(e.need) > 0 {
		return nil
	}
	return newRefusal(refuser.CodeNoUpstream, "no upstream of the service is in the regions that the request may go to")
}

// domainsKey returns a text that differs for requests which may go to different failure domains, so that those that wait for one
// do not hold up those that may go elsewhere.
func (e *exchange) domainsKey() string {
	if !e.need.Bound {
		return ""
	}
	return "@" + strings.Join(e.need.Domains, ",")
}
