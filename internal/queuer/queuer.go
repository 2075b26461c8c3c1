package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// sweepInterval is the time between attempts to place waiting requests without a call of Dispatch.
const sweepInterval = 250 * time.Millisecond

// Queuer holds the waiting requests of an instance.
type Queuer struct {
	config  Config
	waited  *metrics.Counter
	refused *metrics.Counter

	mu     sync.RWMutex
	queues map[string]*modelQueue

	// The fields below let tests disable one rule each: fairness between teams, promotion of overnight
	// requests, and refusal at the deadline.
	mergeTeams   bool
	skipAging    bool
	skipDeadline bool
}

// New returns a Queuer without waiting requests.
func New(config Config) *Queuer {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Queuer{
		config:  config,
		waited:  metrics.GetOrCreateCounter("buckthorngap_queue_waited_total"),
		refused: metrics.GetOrCreateCounter("buckthorngap_queue_refused_total"),
		queues:  make(map[string]*modelQueue),
	}
}

// Run promotes overnight requests that are due and tries to place waiting requests, until the
// context ends.
func (q *Queuer) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.Dispatch("")
		}
	}
}

// Enter returns the placement of a request, at once or after waiting. It returns a *refuser.Refusal if the
// request must not wait, or if it was not placed by the ticket's deadline or the end of the context.
func (q *Queuer) Enter(ctx context.Context, ticket Ticket) (any, error) {
	mq := q.queue(ticket.Model)
	if mq.count.Load() == 0 {
		if placement, ok := q.config.Pick(&ticket); ok {
			return placement, nil
		}
	}
	now := q.config.Now()
	w := newWaiter(ticket, now)
	if refusal := mq.enter(now, w); refusal != nil {
		q.refused.Inc()
		return nil, refusal
	}
	q.waited.Inc()
	return q.await(ctx, mq, w)
}

// await waits for the result of a queued request.
func (q *Queuer) await(ctx context.Context, mq *modelQueue, w *waiter) (any, error) {
	timer := time.NewTimer(w.ticket.Deadline.Sub(q.config.Now()))
	defer timer.Stop()
	if q.skipDeadline {
		timer.Stop()
	}
	select {
	case r := <-w.answer:
		return q.finish(r)
	case <-timer.C:
	case <-ctx.Done():
	}
	if mq.cancel(w) {
		q.refused.Inc()
		return nil, refuseDeadline()
	}
	r := <-w.answer
	if ctx.Err() != nil && r.err == nil && q.config.Drop != nil {
		q.config.Drop(&w.ticket, r.placement)
		return nil, refuseDeadline()
	}
	return q.finish(r)
}

// finish unpacks a result and counts a refusal.
func (q *Queuer) finish(r result) (any, error) {
	if r.err != nil {
		q.refused.Inc()
		return nil, r.err
	}
	return r.placement, nil
}

// Dispatch tries to place the waiting requests of a model; an empty model means all models.
func (q *Queuer) Dispatch(model string) {
	now := q.config.Now()
	for _, mq := range q.list(model) {
		mq.dispatch(now)
	}
}

// RefuseWaiting refuses the waiting requests for which refuse returns a refusal.
func (q *Queuer) RefuseWaiting(refuse func(Ticket) *refuser.Refusal) {
	for _, mq := range q.list("") {
		mq.refuseWaiting(refuse)
	}
}

// Waiting returns the number of requests that wait for a model and the sum of their tokens; an empty model
// means all models.
func (q *Queuer) Waiting(model string) (requests int, tokens int64) {
	for _, mq := range q.list(model) {
		mq.mu.Lock()
		requests += int(mq.count.Load())
		tokens += mq.tokens
		mq.mu.Unlock()
	}
	return requests, tokens
}

// queue returns the queue of a model and creates it if necessary.
func (q *Queuer) queue(model string) *modelQueue {
	q.mu.RLock()
	mq := q.queues[model]
	q.mu.RUnlock()
	if mq != nil {
		return mq
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if mq = q.queues[model]; mq == nil {
		mq = &modelQueue{
			queuer: q,
			model:  model,
			teams:  make(map[string]*teamQueue),
		}
		q.queues[model] = mq
	}
	return mq
}

// list returns the queue of a model, or all queues if the model is empty.
func (q *Queuer) list(model string) []*modelQueue {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if model != "" {
		if mq := q.queues[model]; mq != nil {
			return []*modelQueue{mq}
		}
		return nil
	}
	queues := make([]*modelQueue, 0, len(q.queues))
	for _, mq := range q.queues {
		queues = append(queues, mq)
	}
	return queues
}
