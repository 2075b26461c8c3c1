package app

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/dumper"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/operator"
)

// topicDump is the message topic that requests another instance's state dump.
const topicDump = "app.dump"

// wireOperators creates the endpoints for metrics, state dumps and readiness, and the operators'
// interface.
func (i *Instance) wireOperators() {
	i.dumper = dumper.New(dumper.Config{
		Listen: i.settings.Admin.Listen,
		Ready:  i.ready,
		Parts: map[string]func() any{
			"settings":      func() any { return i.settings },
			"messages":      i.messenger.Dump,
			"membership":    i.tracker.Dump,
			"configuration": i.spreader.Dump,
			"duties":        i.holder.Dump,
			"limits":        i.limiter.Dump,
			"waiting":       i.queuer.Dump,
			"claims":        i.claimer.Dump,
			"reports":       i.reporter.Dump,
			"routing":       i.router.Dump,
			"pacing":        i.pacer.Dump,
			"requests":      i.server.Dump,
			"loading":       i.placer.Dump,
		},
		Log: i.log,
	})
	i.operator = operator.New(operator.Config{
		Spreader:  i.spreader,
		Instances: i.knownInstances,
		Dump:      i.dump,
		TLS:       i.identity.Server(),
		Listen:    i.settings.Operators.Listen,
		Log:       i.log,
	})
}

// ready reports whether the instance has a configuration, accepts requests and has budget for them.
func (i *Instance) ready() bool {
	return i.spreader.Ready() && i.server.Ready() && i.budgetReady()
}

// budgetWait limits how long after the start the instance stays unready for lack of budget, since
// nobody lends budget while the store is unreachable.
const budgetWait = 15 * time.Second

// budgetReady reports whether requests within their team's rate will find budget, or the wait for it
// is over.
func (i *Instance) budgetReady() bool {
	return i.limiter.Ready() || time.Since(i.started) > budgetWait
}

// knownInstances lists all instances that this one knows, itself first.
func (i *Instance) knownInstances(context.Context) ([]operator.Instance, error) {
	revisions := i.spreader.PeerRevisions()
	rows := []operator.Instance{
		{
			Name:     i.settings.Name,
			Domain:   i.settings.Domain,
			Address:  i.selfPeer().Address,
			State:    string(i.tracker.Self().State),
			Revision: i.spreader.Current().Revision(),
		},
	}
	for _, member := range i.tracker.Members() {
		rows = append(rows, operator.Instance{
			Name:     member.Peer.Name,
			Domain:   member.Domain,
			Address:  member.Peer.Address,
			State:    string(member.State),
			Revision: revisions[member.Peer.Name],
		})
	}
	return rows, nil
}

// dump returns the state dump of the named instance; an empty name means this one. It returns
// *UnknownInstance for a name that is not a member.
func (i *Instance) dump(ctx context.Context, name string) ([]byte, error) {
	if name == "" || name == i.settings.Name {
		return i.dumper.Dump("")
	}
	for _, member := range i.tracker.Members() {
		if member.Peer.Name == name {
			return i.messenger.Call(ctx, member.Peer, topicDump, nil)
		}
	}
	return nil, &UnknownInstance{
		Name: name,
	}
}

// handleDump answers another instance's request for this instance's state dump.
func (i *Instance) handleDump(context.Context, messenger.Sender, []byte) ([]byte, error) {
	return i.dumper.Dump("")
}

// UnknownInstance reports that no instance with the given name is known.
type UnknownInstance struct {
	// Name is the requested name.
	Name string
}

// Error implements error.
func (e *UnknownInstance) Error() string { return "no instance " + e.Name + " is known" }

// registerAllHandlers registers the message handlers of all parts.
func (i *Instance) registerAllHandlers() {
	i.registerHandlers(
		i.tracker.Handlers(),
		i.pacer.Handlers(),
		i.spreader.Handlers(),
		i.holder.Handlers(),
		i.limiter.Handlers(),
		i.reporter.Handlers(),
		i.placer.Handlers(),
		map[string]messenger.Handler{
			topicDump: i.handleDump,
		},
	)
}

// registerHandlers registers the message handlers of the given parts by topic.
func (i *Instance) registerHandlers(parts ...map[string]messenger.Handler) {
	for _, handlers := range parts {
		for topic, handler := range handlers {
			i.messenger.Handle(topic, handler)
		}
	}
}
