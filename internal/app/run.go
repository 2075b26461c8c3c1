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

// readyPoll is the time between checks whether a start has got on.
const readyPoll = 20 * time.Millisecond

// Run serves until the context ends, then shuts down gracefully: it reports
// unready, finishes running requests and hands back budget and duties. It
// returns the first error of a part that could not start.
func (i *Instance) Run(ctx context.Context) error { return i.run(ctx, i.parts()) }

// run serves beside the given loops.
func (i *Instance) run(ctx context.Context, parts []func(context.Context) error) error {
	listener, err := net.Listen("tcp", i.settings.Callers.Listen.String())
	if err != nil {
		return err
	}
	lasting, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(lasting)
	for _, part := range parts {
		group.Go(func() error { return part(running) })
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

// parts are the loops of the instance. Each runs until its context ends.
func (i *Instance) parts() []func(context.Context) error {
	return []func(context.Context) error{
		i.guard.Run,
		i.messenger.Run,
		i.tracker.Run,
		i.runSpreader,
		i.holder.Run,
		endless(i.limiter.Run),
		endless(i.queuer.Run),
		endless(i.claimer.Run),
		endless(i.reporter.Run),
		endless(i.forwarder.Run),
		endless(i.refreshRouter),
		endless(i.placer.Run),
		i.operator.Run,
		i.dumper.Run,
	}
}

// runSpreader runs the spreader once membership is known: a start that asks no
// peer would take the store's word alone, which may be older than what is in force.
func (i *Instance) runSpreader(ctx context.Context) error {
	if !waiter.Poll(ctx, readyPoll, i.tracker.Joined) {
		return nil
	}
	return i.spreader.Run(ctx)
}

// refreshRouter lets the router read the platform's list again and again.
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

func endless(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// leaveTime is the least time for handing over budget and duties, if requests
// took all of the drain time: a few messages, and a call to the store for each duty.
const leaveTime = 500 * time.Millisecond

// shutDown ends the instance without cutting a request.
func (i *Instance) shutDown(ctx context.Context) {
	i.log.Info("draining")
	ctx, cancel := context.WithTimeout(ctx, i.settings.Shutdown.Notice.Duration+i.settings.Shutdown.Drain.Duration)
	defer cancel()
	if err := i.server.Drain(ctx); err != nil {
		i.log.WithError(err).Warning("drain incomplete")
	}
	until := time.Now().Add(leaveTime)
	if drained, ok := ctx.Deadline(); ok && drained.After(until) {
		until = drained
	}
	ctx, leave := context.WithDeadline(context.WithoutCancel(ctx), until)
	defer leave()
	i.limiter.ReturnBudget(ctx)
	if err := i.holder.Leave(ctx); err != nil {
		i.log.WithError(err).Info("duty.kept")
	}
	if err := i.tracker.Leave(ctx); err != nil {
		i.log.WithError(err).Info("member.unannounced")
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
