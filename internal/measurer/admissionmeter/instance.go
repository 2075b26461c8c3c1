package admissionmeter

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// instance is one start of an emulated entry instance.
type instance struct {
	site    *site
	spec    instanceSpec
	limiter *limiter.Limiter
	cancel  context.CancelFunc

	mu sync.Mutex
	// frozen is closed when the frozen process resumes; nil while it runs.
	frozen chan struct{}
	killed bool
	// terms holds the last term of each duty that the instance held, by duty.
	terms map[string]*heldTerm
}

// heldTerm is a term of a limit duty. Its holder may act on the duty until the
// deadline, which is earlier than the end of the lease.
type heldTerm struct {
	holder   *instance
	epoch    uint64
	deadline time.Time
}

// termEnded reports that a term has ended.
type termEnded struct{}

// Error implements error.
func (*termEnded) Error() string { return "the term is over" }

// now returns the time. It blocks while the process is frozen.
func (i *instance) now() time.Time {
	for {
		i.mu.Lock()
		frozen := i.frozen
		i.mu.Unlock()
		if frozen == nil {
			return time.Now()
		}
		<-frozen
	}
}

func (i *instance) freeze() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.frozen = make(chan struct{})
}

func (i *instance) thaw() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.frozen != nil {
		close(i.frozen)
		i.frozen = nil
	}
}

func (i *instance) kill() {
	i.mu.Lock()
	i.killed = true
	i.mu.Unlock()
	i.cancel()
}

func (i *instance) running() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.killed && i.frozen == nil
}

// serving reports whether the load balancer sends requests to the instance.
func (i *instance) serving() bool {
	return i.running() && i.limiter.Ready()
}

// term returns the instance's term of a duty, and false if it holds none.
func (i *instance) term(duty string) (limiter.Term, bool) {
	i.mu.Lock()
	held := i.terms[duty]
	i.mu.Unlock()
	if held == nil {
		return limiter.Term{}, false
	}
	return limiter.Term{
		Epoch: held.epoch,
		Check: func() error {
			i.mu.Lock()
			defer i.mu.Unlock()
			if i.terms[duty] != held || !time.Now().Before(held.deadline) {
				return &termEnded{}
			}
			return nil
		},
	}, true
}

// owner returns the holder of the duty in the instance's domain and the epoch of its term.
func (i *instance) owner(duty string) (messenger.Peer, uint64, bool) {
	i.site.mu.Lock()
	defer i.site.mu.Unlock()
	held := i.site.terms[i.spec.domain+duty]
	if held == nil {
		return messenger.Peer{}, 0, false
	}
	return messenger.Peer{
		Name: held.holder.spec.name,
	}, held.epoch, true
}

// messageDelay is the one-way latency of a message.
const messageDelay = 500 * time.Microsecond

// call delivers a message within the domain. It waits for the context's end if
// the target does not run.
func (i *instance) call(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
	time.Sleep(messageDelay)
	target := i.site.instance(to.Name)
	if !target.running() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := target.limiter.Handlers()[topic](ctx, messenger.Sender{
		Name:        i.spec.name,
		Domain:      i.spec.domain,
		Incarnation: i.site.incarnation(i),
	}, payload)
	time.Sleep(messageDelay)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return answer, err
}
