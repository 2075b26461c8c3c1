package launcher

import (
	"context"
	"net/netip"
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/emulator/linker"
)

// relayFields is the number of comma-separated fields in the flag of a relay.
const relayFields = 4

// InvalidRelay reports a relay that cannot be parsed.
type InvalidRelay struct {
	// Relay is the flag's value.
	Relay string
}

// Error implements error.
func (e *InvalidRelay) Error() string {
	return "invalid relay " + e.Relay + ", want from,to,listen,target"
}

func (l *Launcher) addNetwork() {
	command := l.app.Command("network", "Relays between failure domains that can be partitioned.")
	listen := command.Flag("listen", "Address and port of the control: POST a JSON list of partitioned pairs.").Default("127.0.0.1:0").String()
	domains := command.Flag("domain", "An IP address and its failure domain, as address=domain; may be repeated.").StringMap()
	packets := command.Flag("packets", "A UDP relay as ,to,listen,target; may be repeated.").Strings()
	connections := command.Flag("connections", "A TCP relay as from,to,listen,target; may be repeated.").Strings()
	l.commands["network"] = func(ctx context.Context) error {
		config, err := networkConfig(*domains, *packets, *connections)
		if err != nil {
			return err
		}
		relays := &relayRunner{
			linker:   linker.New(config),
			failures: make(chan error, 1),
		}
		go relays.run(ctx)
		if err := l.serve(ctx, "network", *listen, relays.linker); err != nil {
			return err
		}
		return <-relays.failures
	}
}

// relayRunner runs the relays while the control is served.
type relayRunner struct {
	linker   *linker.Linker
	failures chan error
}

func (r *relayRunner) run(ctx context.Context) {
	r.failures <- r.linker.Run(ctx)
}

func networkConfig(domains map[string]string, packets, connections []string) (linker.Config, error) {
	config := linker.Config{
		Domains: map[netip.Addr]string{},
	}
	for text, domain := range domains {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return config, err
		}
		config.Domains[address] = domain
	}
	var err error
	if config.Packets, err = parseRelays(packets); err != nil {
		return config, err
	}
	config.Connections, err = parseRelays(connections)
	return config, err
}

func parseRelays(texts []string) ([]linker.Relay, error) {
	relays := make([]linker.Relay, 0, len(texts))
	for _, text := range texts {
		relay, err := parseRelay(text)
		if err != nil {
			return nil, err
		}
		relays = append(relays, relay)
	}
	return relays, nil
}

func parseRelay(text string) (linker.Relay, error) {
	invalid := &InvalidRelay{
		Relay: text,
	}
	fields := strings.Split(text, ",")
	if len(fields) != relayFields {
		return linker.Relay{}, invalid
	}
	listen, err := netip.ParseAddrPort(fields[2])
	if err != nil {
		return linker.Relay{}, invalid
	}
	target, err := netip.ParseAddrPort(fields[3])
	if err != nil {
		return linker.Relay{}, invalid
	}
	return linker.Relay{
		From:   fields[0],
		To:     fields[1],
		Listen: listen,
		Target: target,
	}, nil
}
