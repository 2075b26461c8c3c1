package app

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// readyPoll is the polling interval for steps of the start, such as having joined the membership.
const readyPoll = 20 * time.Millisecond

// Run serves until the context ends, then shuts down gracefully: it reports unready, finishes running
// requests and returns its budget and duties. It returns the first error of a part that failed to
// start.
func (i *Instance) Run(ctx context.Context) error { return i.run(ctx, i.loops()) }

// run serves callers and runs the given loops until the context ends. The loops run on a context of
// their own, so that they keep running while the instance shuts down.
func (i *Instance) run(ctx context.Context, loops []func(context.Context) error) error {
	listener, err := net.Listen("tcp", i.settings.Callers.Listen.String())
	if err != nil {
		return err
	}
	detached, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(detached)
	for _, loop := range loops {
		group.Go(func() error { return loop(running) })
	}
	group.Go(func() error { return ignoreClosed(i.server.Serve(listener)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			i.shutDown(running)
		case <-running.Done():
			_ = i.server.Close()
		}
		stop()
		return nil
	})
	i.log.WithFields(logrus.Fields{
		"callers":     i.settings.Callers.Listen,
		"peers":       i.settings.Peers.Listen,
		"operators":   i.settings.Operators.Listen,
		"admin":       i.settings.Admin.Listen,
		"incarnation": i.self.Incarnation,
	}).Info("started")
	err = group.Wait()
	i.log.Info("stopped")
	return err
}

// loops returns the main loops of the instance's parts. Each runs until its context ends.
func (i *Instance) loops() []func(context.Context) error {
	return []func(context.Context) error{
		i.guard.Run,
		i.messenger.Run,
		i.tracker.Run,
		i.runSpreader,
		i.holder.Run,
		withoutError(i.limiter.Run),
		withoutError(i.queuer.Run),
		withoutError(i.claimer.Run),
		withoutError(i.reporter.Run),
		withoutError(i.pacer.Run),
		withoutError(i.forwarder.Run),
		withoutError(i.refreshRouter),
		withoutError(i.placer.Run),
		i.operator.Run,
		i.dumper.Run,
	}
}

// runSpreader runs the spreader once this instance has joined the membership. Before that the spreader
// could query no peer and would take the configuration from the store alone, which may be older than
// the one in force.
func (i *Instance) runSpreader(ctx context.Context) error {
	if !waiter.Poll(ctx, readyPoll, i.tracker.Joined) {
		return nil
	}
	return i.spreader.Run(ctx)
}

// refreshRouter makes the router read the list of upstreams again at each interval.
func (i *Instance) refreshRouter(ctx context.Context) {
	ticker := time.NewTicker(i.settings.Routing.Interval.Duration)
	defer ticker.Stop()
	for {
		i.router.Refresh()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// withoutError adapts a loop that returns no error.
func withoutError(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// minLeaveTime is the minimum time for handing over budget and duties if requests used up the drain
// time. It covers a few messages, and a call to the store for each duty.
const minLeaveTime = 500 * time.Millisecond

// shutDown drains running requests, then returns budget and duties and leaves the membership.
func (i *Instance) shutDown(ctx context.Context) {
	i.log.Info("draining")
	ctx, cancel := context.WithTimeout(ctx, i.settings.Shutdown.Notice.Duration+i.settings.Shutdown.Drain.Duration)
	defer cancel()
	if err := i.server.Drain(ctx); err != nil {
		i.log.WithError(err).Warning("drain incomplete")
	}
	until := time.Now().Add(minLeaveTime)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(until) {
		until = deadline
	}
	ctx, cancelLeave := context.WithDeadline(context.WithoutCancel(ctx), until)
	defer cancelLeave()
	i.limiter.ReturnBudget(ctx)
	if err := i.holder.Leave(ctx); err != nil {
		i.log.WithError(err).Info("duty.kept")
	}
	if err := i.tracker.Leave(ctx); err != nil {
		i.log.WithError(err).Info("member.unannounced")
	}
}

// ignoreClosed drops the error that a server returns after it was closed on purpose.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
