package app

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/emulator/weigher"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// localSite is the environment of the instance that RunLocal runs: stand-ins of the platform, of the
// weight store and of upstreams, all in this process.
type localSite struct {
	output   io.Writer
	platform netip.AddrPort
	// serviceLimit is the limit that the plain service states, in requests per second; negative for none.
	serviceLimit float64
	// deadlyText is the text of prompts and bodies under which the upstreams crash; empty for none.
	deadlyText string
	store      *platformer.Platform
}

// start starts the stand-ins and registers the upstreams with the platform's stand-in.
func (s *localSite) start(ctx context.Context) error {
	weights := weigher.New(weigher.Config{
		Speed:            localWeightSpeed,
		Slots:            localWeightSlots,
		FetchesPerSecond: localWeightLoads,
	})
	platform := platformer.New(platformer.Config{})
	s.store = platform
	for k := range localEngines {
		name := fmt.Sprintf("engine%d", k+1)
		engine := runner.New(runner.Config{
			Name:  name,
			Fetch: weights.Fetch,
		})
		engine.Faults().Set(faulter.Fault{
			Kind:  faulter.Deadly,
			Count: -1,
			Text:  s.deadlyText,
		})
		address, err := serveLocal(ctx, engine)
		if err != nil {
			return err
		}
		platform.Put(storer.Instance{
			Name:    name,
			Domain:  localDomain,
			Role:    storer.RoleEngine,
			Address: address,
		})
	}
	service := servicer.New(servicer.Config{
		Name: "crates1",
	})
	service.Faults().Set(faulter.Fault{
		Kind:  faulter.Deadly,
		Count: -1,
		Text:  s.deadlyText,
	})
	if s.serviceLimit >= 0 {
		service.Faults().Set(faulter.Fault{
			Kind:  faulter.Limit,
			Count: -1,
			Rate:  s.serviceLimit,
		})
	}
	address, err := serveLocal(ctx, service)
	if err != nil {
		return err
	}
	platform.Put(storer.Instance{
		Name:    "crates1",
		Domain:  localDomain,
		Role:    storer.RoleService,
		Service: "crates",
		Address: address,
	})
	s.platform, err = serveLocal(ctx, platform)
	return err
}

// stick makes the platform's stand-in stop answering on the connections that were used until now.
func (s *localSite) stick() {
	s.store.SetFaults(platformer.Faults{
		Outage: platformer.OutageStuck,
	})
}

// restore restores the store of the platform's stand-in at each interval from a copy that is half as old, until the context
// ends. It returns nil.
func (s *localSite) restore(ctx context.Context, interval time.Duration) error {
	for waiter.Pause(ctx, interval/2) {
		s.store.Save()
		if waiter.Pause(ctx, interval/2) {
			s.store.Restore()
		}
	}
	return nil
}

// newInstance creates the instance, with an identity from an authority made for this run.
func (s *localSite) newInstance(log io.Writer) (*Instance, error) {
	settings := parser.Default()
	settings.Platform.URL = "http://" + s.platform.String()
	settings.Shutdown.Notice = parser.Duration{}
	settings.Limits.Instances = 1
	authority, err := certifier.NewAuthority(time.Now().Add(localIdentityLifetime), time.Now)
	if err != nil {
		return nil, err
	}
	identity, err := authority.NewIdentity(certifier.Subject{
		Name:   settings.Name,
		Domain: settings.Domain,
		Unit:   certifier.UnitInstance,
	})
	if err != nil {
		return nil, err
	}
	return New(Config{
		Settings: settings,
		Identity: identity,
		Log:      log,
	})
}
