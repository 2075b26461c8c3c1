package claimer

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// releaseTimeout bounds the background attempts to release a claim.
	releaseTimeout = time.Minute
	// releasePause is the time between two attempts, and how long Finish waits for the first.
	releasePause = time.Second
)

// Claim is the right to run a call once.
type Claim struct {
	claimer *Claimer
	// key and value are those of the entry in the store.
	key   string
	value claimValue
	// revision is the entry's revision; zero while it is not known.
	revision storer.Revision
	finished atomic.Bool
}

// Finish ends the claim. If the outcome is refuser.NotRun, it is certain that the call did not run, and the claim
// is released so that the caller may repeat the call; otherwise the claim remains. Finish waits at most one second
// for the store and continues in the background after that. Further calls do nothing.
func (c *Claim) Finish(outcome refuser.Outcome) {
	if c.finished.Swap(true) || outcome != refuser.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releasePause)
	defer cancel()
	if c.release(ctx) {
		c.claimer.removeRecent(c.key)
		return
	}
	go c.run()
}

// checkOwner returns a *taken unless the stored claim is this one, and records its revision.
func (c *Claim) checkOwner(entry storer.Entry) error {
	existing := claimValue{}
	if err := json.Unmarshal(entry.Value, &existing); err != nil || existing.Write != c.value.Write {
		return &taken{
			Value: existing,
		}
	}
	c.revision = entry.Revision
	return nil
}

// run tries to release the claim until it succeeds or releaseTimeout has passed.
func (c *Claim) run() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for !c.release(ctx) {
		if !waiter.Pause(ctx, releasePause) {
			return
		}
	}
	c.claimer.removeRecent(c.key)
}

// release tries once to delete the entry if it is this claim's own. It returns true if the claim is certainly
// gone or belongs to another write.
func (c *Claim) release(ctx context.Context) bool {
	if c.revision == 0 {
		entry, err := c.claimer.config.Store.Get(ctx, c.key)
		if err != nil {
			return false
		}
		if c.checkOwner(entry) != nil {
			return true
		}
	}
	err := c.claimer.config.Store.Delete(ctx, c.key, c.revision)
	var conflict *storer.Conflict
	var absent *storer.Absent
	return err == nil || errors.As(err, &conflict) || errors.As(err, &absent)
}
