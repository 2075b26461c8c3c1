package sharemeter

import (
	"fmt"
	"io"
	"time"
)

// writeResult writes the line of one mode. Refusals count only for teams that
// offer at most their rate.
func writeResult(out io.Writer, mode string, faults bool, results []*teamResult, elapsed time.Duration) error {
	over, inside, refused, late, failed := 0.0, 0, 0, 0, 0
	worst, worstTeam := 1.0, ""
	for _, r := range results {
		allowed := r.team.rate*elapsed.Seconds() + teamBurst
		over += max(0, float64(r.spent)-allowed)
		failed += r.failed
		if r.team.load <= 1 {
			inside += r.offered
			refused += r.refused
			late += r.late
		}
		fair := min(allowed, float64(r.offered*requestCost))
		if served := float64(r.done*requestCost) / fair; served < worst {
			worst, worstTeam = served, r.team.name
		}
	}
	_, err := fmt.Fprintf(out,
		"sharing mode=%s faults=%t instances=7 seconds=%.1f overspend_tokens=%.0f inside_offered=%d inside_refused=%d inside_refused_percent=%.3f inside_late=%d unanswered=%d worst_team=%s worst_share=%.3f\n",
		mode, faults, elapsed.Seconds(), over, inside, refused, 100*float64(refused)/float64(max(inside, 1)), late, failed, worstTeam, worst)
	return err
}
