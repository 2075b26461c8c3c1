package app

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/dumper"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/operator"
)

// topicDump asks another instance for its state.
const topicDump = "app.dump"

// wireOperators makes what operators and the platform ask of the instance.
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
			"requests":      i.server.Dump,
			"loading":       i.placer.Dump,
		},
		Log: i.log,
	})
	i.operator = operator.New(operator.Config{
		Spreader:  i.spreader,
		Instances: i.instances,
		Dump:      i.dump,
		TLS:       i.identity.Server(),
		Listen:    i.settings.Operators.Listen,
		Log:       i.log,
	})
}

func (i *Instance) ready() bool {
	return i.spreader.Ready() && i.server.Ready() && i.budgeted()
}

// budgetWait bounds how long readiness waits for budget, which nobody hands out
// while the store is out.
const budgetWait = 15 * time.Second

// budgeted tells whether requests inside their team's rate will find budget.
func (i *Instance) budgeted() bool {
	return i.limiter.Ready() || time.Since(i.started) > budgetWait
}

// instances lists all instances that are known here, this one first.
func (i *Instance) instances(context.Context) ([]operator.Instance, error) {
	heard := i.spreader.PeerRevisions()
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
			Revision: heard[member.Peer.Name],
		})
	}
	return rows, nil
}

// dump returns the state of the named instance; empty names this one.
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

func (i *Instance) handleDump(context.Context, messenger.Sender, []byte) ([]byte, error) {
	return i.dumper.Dump("")
}

// UnknownInstance reports that no instance of a name is known.
type UnknownInstance struct {
	// Name is the name asked for.
	Name string
}

// Error implements error.
func (e *UnknownInstance) Error() string { return "no instance " + e.Name + " is known" }

// handleMessages registers the handlers of all parts.
func (i *Instance) handleMessages() {
	i.answer(
		i.tracker.Handlers(),
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

// answer has the messages of the parts answered by them.
func (i *Instance) answer(parts ...map[string]messenger.Handler) {
	for _, handlers := range parts {
		for topic, handler := range handlers {
			i.messenger.Handle(topic, handler)
		}
	}
}
