package placer

import (
	"context"
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	// flushInterval is the time between messages that send changed demand to a holder.
	flushInterval = 50 * time.Millisecond
	// fullInterval is the time between messages that send the complete demand.
	fullInterval = time.Minute
	// resendInterval is the time between repeats of demand that still waits.
	resendInterval = time.Second
	// callTimeout limits one call to a holder.
	callTimeout = time.Second
)

// Placer sends this instance's demand to the holders of the domain's placement duties, and
// makes the decisions for the groups of engines whose duty this instance holds.
type Placer struct {
	config  Config
	senders []*demandSender
	groups  []*group
}

// New returns a Placer. It is idle until Run is called.
func New(config Config) *Placer {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Planner == nil {
		config.Planner = Decide
	}
	config.DutyCount = max(1, config.DutyCount)
	placer := &Placer{
		config: config,
	}
	for index := range config.DutyCount {
		g := newGroup(&placer.config, index)
		placer.groups = append(placer.groups, g)
		placer.senders = append(placer.senders, newDemandSender(&placer.config, g))
	}
	return placer
}

// Duties returns the names of the placement duties of a domain.
func Duties(groups int) []string {
	names := make([]string, max(1, groups))
	for index := range names {
		names[index] = dutyName(index)
	}
	return names
}

// dutyName returns the name of a group's duty.
func dutyName(index int) string { return fmt.Sprintf("place/%d", index) }

// AddDemand adds one request's demand for a model, version or adapter. If no other request waits
// for the same key, the demand is sent to the holders immediately.
func (p *Placer) AddDemand(demand Demand) {
	for _, sender := range p.senders {
		sender.add(demand)
	}
}

// Run sends demand and makes decisions until the context ends.
func (p *Placer) Run(ctx context.Context) {
	done := make(chan struct{})
	for index := range p.groups {
		go p.senders[index].run(ctx, done)
		go p.groups[index].run(ctx, done)
	}
	for range 2 * len(p.groups) {
		<-done
	}
}

// Step sends demand and makes one decision per group, then waits until all orders are
// answered. Simulations call it instead of Run.
func (p *Placer) Step(ctx context.Context) {
	for index := range p.groups {
		p.senders[index].flush(ctx)
		p.groups[index].tick(ctx)
		p.groups[index].deliveries.Wait()
	}
}

// Handlers returns the handlers of the messages in which other instances send their demand,
// by topic.
func (p *Placer) Handlers() map[string]messenger.Handler {
	handlers := make(map[string]messenger.Handler, len(p.groups))
	for _, g := range p.groups {
		handlers[g.topic()] = g.handle
	}
	return handlers
}
