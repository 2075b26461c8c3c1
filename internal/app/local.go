package app

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// LocalConfig configures RunLocal.
type LocalConfig struct {
	// Output is where the addresses and a complete curl command are printed.
	Output io.Writer
	// Log is the destination of the instance's log.
	Log io.Writer
	// ServiceLimit is the number of requests per second that the plain service states as its limit; negative if
	// it states none.
	ServiceLimit float64
	// DeadlyText makes the engines crash as they begin to answer a prompt that holds it, and the plain service as it runs a call
	// whose body does; empty for none.
	DeadlyText string
	// StuckAfter is when the platform stops answering on the connections that were used until then; zero for never.
	StuckAfter time.Duration
	// RestoreInterval is the time after which the platform's store is restored from a copy that is half as old, again and again;
	// zero for never.
	RestoreInterval time.Duration
}

// The sizes of the local stand-ins: the number of engines, the weight store's speed in bytes a second,
// its number of fetches at full speed and of fetches started a second, and the certificates' lifetime.
const (
	localEngines          = 2
	localWeightSpeed      = 20e9
	localWeightSlots      = 4
	localWeightLoads      = 3
	localIdentityLifetime = 24 * time.Hour
)

// RunLocal runs a stand-in of the platform, two emulated engines, a plain service and one instance
// with a demo configuration in one process, until the context ends. It returns the first error of a
// part that failed to start.
func RunLocal(ctx context.Context, config LocalConfig) error {
	site := &localSite{
		output:       config.Output,
		serviceLimit: config.ServiceLimit,
		deadlyText:   config.DeadlyText,
	}
	standIns, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := site.start(standIns); err != nil {
		return err
	}
	instance, err := site.newInstance(config.Log)
	if err != nil {
		return err
	}
	if config.StuckAfter > 0 {
		time.AfterFunc(config.StuckAfter, site.stick)
	}
	group, running := errgroup.WithContext(ctx)
	if config.RestoreInterval > 0 {
		group.Go(func() error { return site.restore(running, config.RestoreInterval) })
	}
	group.Go(func() error { return instance.Run(running) })
	group.Go(func() error { return site.runDemo(running, instance) })
	return group.Wait()
}
