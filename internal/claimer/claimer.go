package claimer

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// Prefix is the key prefix of claims in the store.
	Prefix = "claims/"
	// maxAttempts is the maximum number of attempts to write a claim while the outcome is unknown.
	maxAttempts = 5
	// attemptPause is the time between two attempts.
	attemptPause = 100 * time.Millisecond
	// storeRetry is the time after which a caller may retry when the store was unreachable.
	storeRetry = 2 * time.Second
)

// Claimer grants claims. A claim is an entry of the store that is created only if absent, so that of all calls with
// one idempotency key only one can run.
type Claimer struct {
	config Config
	leases leases
	// serial is the number of the last claim, for its write ID.
	serial  atomic.Uint64
	granted *metrics.Counter
	repeats *metrics.Counter
	failed  *metrics.Counter

	mu     sync.Mutex
	recent recentClaims

	// skipReadBack lets tests treat a claim whose write got no answer as granted.
	skipReadBack bool
}

// New returns a Claimer.
func New(config Config) *Claimer {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.Retention = cmp.Or(max(config.Retention, 0), 24*time.Hour)
	config.LeaseRotation = cmp.Or(max(config.LeaseRotation, 0), time.Hour)
	config.MaxRecentClaims = cmp.Or(max(config.MaxRecentClaims, 0), 10_000)
	return &Claimer{
		config: config,
		leases: leases{
			store:     config.Store,
			now:       config.Now,
			retention: config.Retention,
			rotation:  config.LeaseRotation,
			grantSlot: make(chan struct{}, 1),
		},
		granted: metrics.GetOrCreateCounter("buckthorngap_claims_granted_total"),
		repeats: metrics.GetOrCreateCounter("buckthorngap_claims_repeated_total"),
		failed:  metrics.GetOrCreateCounter("buckthorngap_claims_failed_total"),
		recent:  newRecentClaims(config.MaxRecentClaims),
	}
}

// Run obtains the lease for the next claims in advance until the context ends.
func (c *Claimer) Run(ctx context.Context) {
	ticker := time.NewTicker(c.config.LeaseRotation / 10)
	defer ticker.Stop()
	for {
		_, _ = c.leases.get(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Claim grants the right to run a call, or returns a *refuser.Refusal: CodeRepeat with outcome Unknown if the
// call was claimed before, CodeBadRequest with NotRun if the idempotency key was used for a different call,
// CodeStore with NotRun while claims cannot be stored.
func (c *Claimer) Claim(ctx context.Context, request Request) (*Claim, error) {
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	claim := &Claim{
		claimer: c,
		key:     storeKey(request),
		value:   c.newValue(request.Digest),
	}
	if existing, ok := c.addRecent(claim); !ok {
		return nil, c.refuseRepeat(existing, claim.value)
	}
	err := c.create(ctx, claim)
	if err == nil {
		c.granted.Inc()
		return claim, nil
	}
	return nil, c.refuseFailed(claim, err)
}

// storeKey returns the key of a claim in the store. Its parts are hashed, since callers choose them.
func storeKey(request Request) string {
	hash := sha256.New()
	for _, part := range []string{request.Team, request.Service, request.Key} {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Prefix + hex.EncodeToString(hash.Sum(nil))
}

// newValue returns the value of a claim, with a unique write ID.
func (c *Claimer) newValue(digest string) claimValue {
	return claimValue{
		Digest: digest,
		Write: c.config.Self.Name + "/" + strconv.FormatUint(c.config.Self.Incarnation, 10) +
			"/" + strconv.FormatUint(c.serial.Add(1), 10),
	}
}

// addRecent adds a claim to the local table. If the table already has one with that key, addRecent returns its value
// and false.
func (c *Claimer) addRecent(claim *Claim) (claimValue, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.recent.get(claim.key); ok {
		return existing, false
	}
	c.recent.put(claim.key, claim.value)
	return claimValue{}, true
}

// create writes the claim. If the answer is lost, it writes the same claim again: as both writes carry the same
// write ID, the stored entry shows whether either of them succeeded. It returns a *notWritten, *taken or
// *outcomeUnknown.
func (c *Claimer) create(ctx context.Context, claim *Claim) error {
	value, err := json.Marshal(claim.value)
	if err != nil {
		return &notWritten{
			Cause: err,
		}
	}
	for attempt := range maxAttempts {
		lease, err := c.leases.get(ctx)
		if err != nil && attempt == 0 {
			return &notWritten{
				Cause: err,
			}
		}
		if err == nil {
			err = c.swap(ctx, claim, value, lease)
		}
		if err == nil || isTaken(err) {
			return err
		}
		if !waiter.Pause(ctx, attemptPause) {
			break
		}
	}
	return &outcomeUnknown{
		Key: claim.key,
	}
}

// swap tries once to create the claim.
func (c *Claimer) swap(ctx context.Context, claim *Claim, value []byte, lease storer.LeaseID) error {
	entry, err := c.config.Store.Swap(ctx, storer.Swap{
		Key:   claim.key,
		Value: value,
		Lease: lease,
	})
	var conflict *storer.Conflict
	var lapsed *storer.Lapsed
	switch {
	case err == nil:
		claim.revision = entry.Revision
		return nil
	case errors.As(err, &lapsed):
		c.leases.discard(lease)
		return err
	case errors.As(err, &conflict):
		return c.readBack(ctx, claim)
	case c.skipReadBack:
		return nil
	}
	return err
}

// readBack reads the stored claim and returns a *taken if it belongs to another write.
func (c *Claimer) readBack(ctx context.Context, claim *Claim) error {
	entry, err := c.config.Store.Get(ctx, claim.key)
	if err != nil {
		return err
	}
	return claim.checkOwner(entry)
}

// isTaken reports whether an error proves that the stored claim belongs to another write.
func isTaken(err error) bool {
	var taken *taken
	return errors.As(err, &taken)
}

// refuseFailed turns the error of a claim into a refusal. This instance did not run the call; if the claim may
// have been written nevertheless, repeats are refused with the outcome Unknown until the claim is released in the
// background.
func (c *Claimer) refuseFailed(claim *Claim, err error) error {
	var taken *taken
	if errors.As(err, &taken) {
		c.putRecent(claim.key, taken.Value)
		return c.refuseRepeat(taken.Value, claim.value)
	}
	c.failed.Inc()
	c.removeRecent(claim.key)
	var unknown *outcomeUnknown
	if errors.As(err, &unknown) {
		go claim.run()
	}
	return &refuser.Refusal{
		Code:    refuser.CodeStore,
		Outcome: refuser.NotRun,
		Detail:  "the call could not be claimed, so it was not run",
		RetryAt: c.config.Now().Add(storeRetry),
		Cause:   err,
	}
}

// refuseRepeat refuses a call whose idempotency key is already claimed.
func (c *Claimer) refuseRepeat(existing, own claimValue) error {
	c.repeats.Inc()
	if existing.Digest != own.Digest {
		return &refuser.Refusal{
			Code:    refuser.CodeBadRequest,
			Outcome: refuser.NotRun,
			Detail:  "the idempotency key was used for another call",
		}
	}
	return &refuser.Refusal{
		Code:    refuser.CodeRepeat,
		Outcome: refuser.Unknown,
		Detail:  "a call with this idempotency key was made before and may have run",
	}
}

// removeRecent removes a claim from the local table.
func (c *Claimer) removeRecent(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.remove(key)
}

// putRecent records another write's claim in the local table.
func (c *Claimer) putRecent(key string, existing claimValue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.put(key, existing)
}

// State is the state dump of a Claimer for operators.
type State struct {
	// Recent is the number of claims in the local table.
	Recent int `json:"recent"`
	// Lease is the lease that new claims are attached to.
	Lease storer.LeaseID `json:"lease"`
	// Rotation is when the next lease is obtained.
	Rotation time.Time `json:"rotation"`
}

// Dump returns a State.
func (c *Claimer) Dump() any {
	lease, rotation := c.leases.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{
		Recent:   len(c.recent.values),
		Lease:    lease,
		Rotation: rotation,
	}
}
