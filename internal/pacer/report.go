package pacer

import "context"

// report tells the holder of an upstream's duty that the upstream has changed its limit.
type report struct {
	pacer *Pacer
	gate  *gate
}

// run sends the report. If it does not arrive, the holder learns of the change with the next request for permits or
// heartbeat.
func (r *report) run(ctx context.Context) {
	known := r.gate.known()
	grant, err := r.pacer.request(ctx, r.gate.upstream, 0, known)
	if err != nil {
		r.pacer.metrics.unanswered.Inc()
		return
	}
	r.pacer.learn(grant.GetLimit())
}
