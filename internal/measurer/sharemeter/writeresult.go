package sharemeter

import (
	"fmt"
	"io"
	"time"
)

// writeResult writes the line of one mode: by how many tokens teams exceeded their
// limits in sum, the refusals of teams that offer at most their rate, and the
// worst-served team's fraction of its fair share.
func writeResult(out io.Writer, mode string, faults bool, results []*teamResult, elapsed time.Duration) error {
	overspend, offeredInside, refusedInside, otherRefused, failed := 0.0, 0, 0, 0, 0
	worst, worstTeam := 1.0, ""
	for _, r := range results {
		allowed := r.team.rate*elapsed.Seconds() + teamBurst
		overspend += max(0, float64(r.usedTokens)-allowed)
		failed += r.failed
		if r.team.load <= 1 {
			offeredInside += r.offered
			refusedInside += r.refused
			otherRefused += r.otherRefused
		}
		fairShare := min(allowed, float64(r.offered*requestCost))
		if served := float64(r.answered*requestCost) / fairShare; served < worst {
			worst, worstTeam = served, r.team.name
		}
	}
	_, err := fmt.Fprintf(out,
		"sharing mode=%s faults=%t instances=7 seconds=%.1f overspend_tokens=%.0f inside_offered=%d inside_refused=%d inside_refused_percent=%.3f inside_late=%d unanswered=%d worst_team=%s worst_share=%.3f\n",
		mode, faults, elapsed.Seconds(), overspend, offeredInside, refusedInside, 100*float64(refusedInside)/float64(max(offeredInside, 1)), otherRefused, failed, worstTeam, worst)
	return err
}
