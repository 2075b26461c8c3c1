package starter

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// OperatorName is the name of the operator for whom a site issues a certificate.
const OperatorName = "amina"

// directoryMode is the file mode of a site's directory, which only the user may read.
const directoryMode = 0o700

const pollInterval = 20 * time.Millisecond

// Site holds the processes of one site.
type Site struct {
	// Platform is the emulated platform.
	Platform *Process
	// Weights is the emulated weight store.
	Weights *Process
	// Instances are the entry instances.
	Instances []*Process
	// Engines are the emulated engines.
	Engines []*Process
	// Services are the emulated instances of the plain service.
	Services []*Process

	config  Config
	network *Process
	// relayFlags are the network emulator's flags, which define its relays.
	relayFlags []string
	// instanceFlags are the platform emulator's flags, which define the instances that it lists.
	instanceFlags []string
	// peers holds, for each instance, the address on which it listens for its peers.
	peers  map[string]netip.AddrPort
	client *http.Client
}

// Start builds the binaries, starts all processes and waits until every
// instance is ready. On an error it ends the processes that it started.
func Start(ctx context.Context, config Config) (*Site, error) {
	s := &Site{
		config: config,
		peers:  map[string]netip.AddrPort{},
		client: &http.Client{
			Timeout: 5 * time.Second,
		},
	}
	for _, step := range []func(context.Context) error{
		s.build,
		s.plan,
		s.writeCertificates,
		s.startAll,
		s.awaitReady,
	} {
		if err := step(ctx); err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

// Stop kills all started processes and waits for their end.
func (s *Site) Stop() {
	for _, process := range s.processes() {
		if process.command != nil {
			process.Kill()
		}
	}
}

// Instance returns the entry instance of that name, or nil.
func (s *Site) Instance(name string) *Process {
	for _, process := range s.Instances {
		if process.Name == name {
			return process
		}
	}
	return nil
}

// Operator returns a client that connects to an instance with the operator's
// certificate. It returns an error if the certificate cannot be read or the
// client cannot be created.
func (s *Site) Operator(instance *Process) (*operator.Client, error) {
	identity, err := certifier.Load(certifier.Files(s.config.Directory, OperatorName))
	if err != nil {
		return nil, err
	}
	return operator.Dial(operator.ClientConfig{
		Address: instance.Operators,
		TLS:     identity.Client(""),
	})
}

// processes returns all planned processes, in the order in which they are started.
func (s *Site) processes() []*Process {
	var all []*Process
	for _, process := range []*Process{s.Platform, s.Weights, s.network} {
		if process != nil {
			all = append(all, process)
		}
	}
	all = append(all, s.Engines...)
	all = append(all, s.Services...)
	return append(all, s.Instances...)
}

// build compiles the entry and emulator binaries into the site's directory.
func (s *Site) build(ctx context.Context) error {
	if err := os.MkdirAll(s.config.Directory, directoryMode); err != nil {
		return err
	}
	for name, path := range map[string]string{
		"buckthorngap": ".",
		"standin":      "./cmd/standin",
	} {
		command := exec.CommandContext(ctx, "go", "build", "-o", s.binary(name), path)
		command.Dir = s.config.Source
		if output, err := command.CombinedOutput(); err != nil {
			return &Failed{
				Process: name,
				Step:    "build",
				Output:  string(output),
				Cause:   err,
			}
		}
	}
	return nil
}

// binary returns the path of a binary in the site's directory.
func (s *Site) binary(name string) string {
	return filepath.Join(s.config.Directory, name)
}

func (s *Site) startAll(context.Context) error {
	for _, process := range s.processes() {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) awaitReady(ctx context.Context) error {
	deadline := s.config.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(startTimeout)
	}
	for _, instance := range s.Instances {
		if err := s.AwaitReady(ctx, instance, deadline); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady polls an instance until it reports ready. It returns *Failed if
// the instance ends, the deadline passes or the context ends before that.
func (s *Site) AwaitReady(ctx context.Context, instance *Process, deadline time.Time) error {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		response, err := s.client.Get(fmt.Sprintf("http://%s/readyz", instance.Admin))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-instance.Ended():
			return instance.failed("run", instance.AwaitExit(time.Second))
		case <-time.After(pollInterval):
		}
	}
	return instance.failed("ready", ctx.Err())
}

// instanceFlag returns the flag by which the emulated platform lists an instance or upstream.
func instanceFlag(name, domain string, role storer.Role, address netip.AddrPort, service string) string {
	text := fmt.Sprintf("--instance=%s,%s,%s,%s", name, domain, role, address)
	if service != "" {
		text += "," + service
	}
	return text
}
