package binder

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config is what New needs.
type Config struct {
	// URL is the base of the service's HTTP interface.
	URL string
	// Client sends the calls; nil means a client made by NewClient.
	Client *http.Client
	// Timeout ends one call that is not a watch; zero means DefaultTimeout.
	Timeout time.Duration
	// Reads is the budget of reads a second; zero means none.
	Reads float64
	// Writes is the budget of writes a second; zero means none.
	Writes float64
	// Attempts is how often a read is sent before it fails; zero means DefaultAttempts.
	Attempts int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// The defaults of Config.
const (
	// DefaultTimeout ends one call that is not a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultAttempts is how often a read is sent before it fails.
	DefaultAttempts = 3
	// WatchTimeout is how long one watch waits at most.
	WatchTimeout = 30 * time.Second
)

// binding holds what the functions of one Store share.
type binding struct {
	config Config
	reads  *rate.Limiter
	writes *rate.Limiter
}

// New returns a Store whose functions call the service.
func New(config Config) *storer.Store {
	b := newBinding(config)
	return &storer.Store{
		Get:       b.get,
		List:      b.list,
		Scan:      b.scan,
		Swap:      b.swap,
		Delete:    b.drop,
		Grant:     b.grant,
		Renew:     b.renew,
		Revoke:    b.revoke,
		Watch:     b.watch,
		Instances: b.instances,
	}
}

func newBinding(config Config) *binding {
	if config.Client == nil {
		config.Client = NewClient()
	}
	config.Timeout = cmp.Or(max(config.Timeout, 0), DefaultTimeout)
	config.Attempts = cmp.Or(max(config.Attempts, 0), DefaultAttempts)
	if config.Now == nil {
		config.Now = time.Now
	}
	return &binding{
		config: config,
		reads:  budget(config.Reads),
		writes: budget(config.Writes),
	}
}

// budget allows bursts of one second's calls.
func budget(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (b *binding) get(ctx context.Context, key string) (storer.Entry, error) {
	entry, err := retry[Entry](ctx, b, call{
		path: PathGet,
		key:  key,
		body: KeyRequest{
			Key: key,
		},
	})
	return entryOf(entry), err
}

func (b *binding) list(ctx context.Context, prefix string) ([]storer.Entry, error) {
	found, err := retry[ListAnswer](ctx, b, call{
		path: PathList,
		key:  prefix,
		body: PrefixRequest{
			Prefix: prefix,
		},
	})
	return entriesOf(found.Entries), err
}

func (b *binding) scan(ctx context.Context, prefix string) (storer.Changes, error) {
	found, err := retry[ListAnswer](ctx, b, call{
		path: PathList,
		key:  prefix,
		body: PrefixRequest{
			Prefix: prefix,
		},
	})
	return storer.Changes{
		Entries:  entriesOf(found.Entries),
		Revision: found.Revision,
	}, err
}

func (b *binding) instances(ctx context.Context) ([]storer.Instance, error) {
	found, err := retry[InstancesAnswer](ctx, b, call{
		path: PathInstances,
		body: struct{}{},
	})
	return found.Instances, err
}

// watch is sent once: its caller repeats it with the revision that it has.
func (b *binding) watch(ctx context.Context, prefix string, after storer.Revision) (storer.Changes, error) {
	waiting, cancel := context.WithTimeout(ctx, WatchTimeout+b.config.Timeout)
	defer cancel()
	found, err := send[ListAnswer](waiting, b, b.reads, call{
		path: PathWatch,
		key:  prefix,
		body: PrefixRequest{
			Prefix:       prefix,
			After:        after,
			Milliseconds: WatchTimeout.Milliseconds(),
		},
	})
	return storer.Changes{
		Entries:  entriesOf(found.Entries),
		Deleted:  found.Deleted,
		Revision: found.Revision,
	}, err
}

func (b *binding) swap(ctx context.Context, swap storer.Swap) (storer.Entry, error) {
	written, err := once[Entry](ctx, b, call{
		path:  PathSwap,
		key:   swap.Key,
		lease: swap.Lease,
		body: SwapRequest{
			Key:      swap.Key,
			Value:    swap.Value,
			Expected: swap.Expected,
			Lease:    swap.Lease,
		},
	})
	if err != nil {
		return storer.Entry{}, err
	}
	written.Value = swap.Value
	return entryOf(written), nil
}

func (b *binding) drop(ctx context.Context, key string, expected storer.Revision) error {
	_, err := once[struct{}](ctx, b, call{
		path: PathDelete,
		key:  key,
		body: KeyRequest{
			Key:      key,
			Expected: expected,
		},
	})
	return err
}

func (b *binding) grant(ctx context.Context, timeToLive time.Duration) (storer.Lease, error) {
	return b.lease(ctx, call{
		path: PathGrant,
		body: LeaseRequest{
			Milliseconds: timeToLive.Milliseconds(),
		},
	})
}

func (b *binding) renew(ctx context.Context, id storer.LeaseID) (storer.Lease, error) {
	return b.lease(ctx, call{
		path:  PathRenew,
		lease: id,
		body: LeaseRequest{
			Lease: id,
		},
	})
}

// lease counts the deadline from before the request is sent: the service's
// own count starts later, so the lease never lapses before the deadline.
func (b *binding) lease(ctx context.Context, c call) (storer.Lease, error) {
	if err := spend(ctx, b.writes, "write"); err != nil {
		return storer.Lease{}, err
	}
	sent := b.config.Now()
	granted, err := exchange[LeaseAnswer](ctx, b, c)
	if err != nil {
		return storer.Lease{}, err
	}
	return storer.Lease{
		ID:       granted.Lease,
		Deadline: sent.Add(time.Duration(granted.Milliseconds) * time.Millisecond),
	}, nil
}

func (b *binding) revoke(ctx context.Context, id storer.LeaseID) error {
	_, err := once[struct{}](ctx, b, call{
		path:  PathRevoke,
		lease: id,
		body: LeaseRequest{
			Lease: id,
		},
	})
	return err
}

func entryOf(entry Entry) storer.Entry {
	return storer.Entry{
		Key:      entry.Key,
		Value:    entry.Value,
		Revision: entry.Revision,
		Lease:    entry.Lease,
	}
}

func entriesOf(entries []Entry) []storer.Entry {
	converted := make([]storer.Entry, 0, len(entries))
	for _, entry := range entries {
		converted = append(converted, entryOf(entry))
	}
	return converted
}

// unavailable tells whether a call gave no usable answer.
func unavailable(err error) bool {
	var lost *storer.Unavailable
	return errors.As(err, &lost)
}
