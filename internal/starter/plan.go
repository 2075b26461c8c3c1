package starter

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/buckthorngap/buckthorngap/internal/emulator/linker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// plan creates all processes with their addresses and command-line arguments, and writes the instances' settings.
func (s *Site) plan(context.Context) error {
	planner := &planner{
		site: s,
	}
	s.Platform = planner.newEmulator("platform", "", "platform")
	s.Weights = planner.newEmulator("weights", "", "weights")
	s.network = planner.newEmulator("network", "", "network")
	for index, domain := range s.config.Domains {
		planner.addDomain(index, domain)
	}
	s.Platform.arguments = append(append(s.Platform.arguments, s.instanceFlags...), s.config.Platform...)
	s.Weights.arguments = append(s.Weights.arguments, s.config.Weights...)
	s.network.arguments = append(s.network.arguments, s.relayFlags...)
	return planner.failure
}

// planner creates the processes of a site with their addresses and arguments. It
// keeps the first error, which Site.plan returns at the end.
type planner struct {
	site    *Site
	failure error
}

// allocatePort returns a free port of the address; it records the error if there is none.
func (p *planner) allocatePort(address netip.Addr) netip.AddrPort {
	free, err := freePort(address)
	if err != nil && p.failure == nil {
		p.failure = err
	}
	return free
}

// newEmulator returns a process that runs the given kind of emulator.
func (p *planner) newEmulator(name, domain, kind string, arguments ...string) *Process {
	address := p.allocatePort(loopback)
	return &Process{
		Name:      name,
		Domain:    domain,
		Callers:   address,
		binary:    p.site.binary("standin"),
		arguments: append([]string{kind, "--listen=" + address.String()}, arguments...),
		logPath:   logFile(p.site.config.Directory, name),
	}
}

// addDomain adds the engines, services and instances of a failure domain, and the
// relay through which its instances reach the platform.
func (p *planner) addDomain(index int, domain Domain) {
	s := p.site
	for k := range domain.Engines {
		name := fmt.Sprintf("engine-%s%d", domain.Name, k+1)
		engine := p.newEmulator(name, domain.Name, "engine", append([]string{
			"--name=" + name,
			"--weights=http://" + s.Weights.Callers.String(),
		}, s.config.Engine...)...)
		s.Engines = append(s.Engines, engine)
		s.instanceFlags = append(s.instanceFlags, instanceFlag(name, domain.Name, storer.RoleEngine, engine.Callers, ""))
	}
	for k := range domain.Services {
		name := fmt.Sprintf("%s-%s%d", ServiceName, domain.Name, k+1)
		service := p.newEmulator(name, domain.Name, "service", append([]string{"--name=" + name}, s.config.Service...)...)
		s.Services = append(s.Services, service)
		s.instanceFlags = append(s.instanceFlags,
			instanceFlag(name, domain.Name, storer.RoleService, service.Callers, ServiceName))
	}
	platform := p.allocatePort(loopback)
	s.relayFlags = append(s.relayFlags,
		fmt.Sprintf("--domain=%s=%s", domainAddress(index), domain.Name),
		fmt.Sprintf("--connections=%s,%s,%s,%s", domain.Name, linker.PlatformDomain, platform, s.Platform.Callers))
	for k := range domain.Instances {
		p.addInstance(index, domain.Name, fmt.Sprintf("%s%d", domain.Name, k+1), platform)
	}
}

// addInstance adds an entry instance and the relay through which its peers reach
// it, and writes its settings. The instance listens for peers on its domain's
// own loopback address, so that relays can tell the sender's domain.
func (p *planner) addInstance(index int, domain, name string, platform netip.AddrPort) {
	s := p.site
	peers, advertised := p.allocatePort(domainAddress(index)), p.allocatePort(loopback)
	process := &Process{
		Name:      name,
		Domain:    domain,
		Callers:   p.allocatePort(loopback),
		Operators: p.allocatePort(loopback),
		Admin:     p.allocatePort(loopback),
		binary:    s.binary("buckthorngap"),
		arguments: []string{"entry", "--settings=" + s.settingsFile(name)},
		logPath:   logFile(s.config.Directory, name),
	}
	s.Instances = append(s.Instances, process)
	s.peers[name] = peers
	s.instanceFlags = append(s.instanceFlags, instanceFlag(name, domain, storer.RoleEntry, advertised, ""))
	s.relayFlags = append(s.relayFlags, fmt.Sprintf("--packets=,%s,%s,%s", domain, advertised, peers))
	if p.failure == nil {
		p.failure = s.writeSettings(process, advertised, platform)
	}
}
