package messenger_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// testTimeout bounds each test.
const testTimeout = 20 * time.Second

// testCluster issues certificates and starts messengers on the loopback interface.
type testCluster struct {
	t         *testing.T
	authority *certifier.Authority
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	authority, err := certifier.NewAuthority(time.Now().Add(time.Hour), nil)
	if err != nil {
		t.Fatal(err)
	}
	return &testCluster{
		t:         t,
		authority: authority,
	}
}

// identity issues a certificate.
func (s *testCluster) identity(name, domain string, unit certifier.Unit) *certifier.Identity {
	identity, err := s.authority.NewIdentity(certifier.Subject{
		Name:   name,
		Domain: domain,
		Unit:   unit,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return identity
}

// config returns the configuration of an instance of domain a.
func (s *testCluster) config(name string, incarnation uint64) messenger.Config {
	identity := s.identity(name, "a", certifier.UnitInstance)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return messenger.Config{
		Self: messenger.Sender{
			Name:        name,
			Domain:      "a",
			Incarnation: incarnation,
		},
		Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
		ServerTLS: identity.Server(),
		ClientTLS: identity.Client(""),
		Log:       log,
	}
}

// start runs a messenger with handlers that echo, refuse and hang. The returned function stops
// it.
func (s *testCluster) start(config messenger.Config) (*messenger.Messenger, func()) {
	m, err := messenger.New(config)
	if err != nil {
		s.t.Fatal(err)
	}
	m.Handle("echo", func(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
		return append([]byte(from.Name+":"), payload...), nil
	})
	m.Handle("refuse", func(context.Context, messenger.Sender, []byte) ([]byte, error) {
		return nil, &messenger.Refused{
			Code:   "epoch",
			Detail: "old",
		}
	})
	m.Handle("hang", func(ctx context.Context, _ messenger.Sender, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = m.Run(ctx) })
	stop := func() {
		cancel()
		group.Wait()
	}
	s.t.Cleanup(stop)
	return m, stop
}

// peer returns the peer with a name at the address of a messenger.
func peer(name string, m *messenger.Messenger) messenger.Peer {
	return messenger.Peer{
		Name:    name,
		Address: m.Address(),
	}
}

func TestCallsShareOneConnection(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	first, _ := s.start(s.config("a1", 1))
	second, _ := s.start(s.config("a2", 1))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 20 {
		answer, err := first.Call(ctx, peer("a2", second), "echo", []byte("x"))
		is.NoErr(err)
		is.Equal(string(answer), "a1:x")
	}
	for range 20 {
		answer, err := second.Call(ctx, peer("a1", first), "echo", []byte("y"))
		is.NoErr(err)
		is.Equal(string(answer), "a2:y")
	}
	is.Equal(first.Snapshot().Dialed, uint64(1))
	is.Equal(second.Snapshot().Dialed, uint64(0)) // the accepted connection is used in both directions

	big := bytes.Repeat([]byte("z"), messenger.MaxBytes-3)
	answer, err := first.Call(ctx, peer("a2", second), "echo", big)
	is.NoErr(err)
	is.Equal(len(answer), messenger.MaxBytes)
}

func TestRefusalsAreTyped(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	first, _ := s.start(s.config("a1", 1))
	second, _ := s.start(s.config("a2", 1))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()

	var refused *messenger.Refused
	_, err := first.Call(ctx, peer("a2", second), "refuse", nil)
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, messenger.Code("epoch"))
	is.Equal(refused.Peer, "a2")
	_, err = first.Call(ctx, peer("a2", second), "none", nil)
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, messenger.CodeTopic)
	_, err = first.Call(ctx, peer("a2", second), "echo", make([]byte, messenger.MaxBytes))
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, messenger.CodeSize) // the answer is above MaxBytes

	var large *messenger.TooLarge
	_, err = first.Call(ctx, peer("a2", second), "echo", make([]byte, messenger.MaxBytes+1))
	is.True(errors.As(err, &large))

	var unreachable *messenger.Unreachable
	_, err = first.Call(ctx, peer("a3", second), "echo", nil)
	is.True(errors.As(err, &unreachable)) // the certificate has another name
	is.True(!unreachable.Sent)
	soon, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = first.Call(soon, peer("a2", second), "hang", nil)
	is.True(errors.As(err, &unreachable))
	is.True(unreachable.Sent) // the handler may have run
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestSenderIsBoundToCertificateAndIncarnation(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	target, _ := s.start(s.config("a2", 1))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	call := func(config messenger.Config) error {
		m, stop := s.start(config)
		defer stop()
		_, err := m.Call(ctx, peer("a2", target), "echo", nil)
		return err
	}
	code := func(err error) messenger.Code {
		var refused *messenger.Refused
		is.True(errors.As(err, &refused))
		return refused.Code
	}
	impostor := s.config("a1", 9)
	impostor.Self.Domain = "b"
	is.Equal(code(call(impostor)), messenger.CodeIdentity)
	impostor = s.config("a1", 9)
	impostor.Self.Name = "a3"
	is.Equal(code(call(impostor)), messenger.CodeIdentity)

	is.NoErr(call(s.config("a1", 5)))
	is.Equal(code(call(s.config("a1", 4))), messenger.CodeStale)
	is.NoErr(call(s.config("a1", 6)))

	operator := s.config("a1", 7)
	operator.ClientTLS = s.identity("a1", "", certifier.UnitOperator).Client("")
	var unreachable *messenger.Unreachable
	is.True(errors.As(call(operator), &unreachable)) // operators send no messages
	foreign := newTestCluster(t).config("a1", 8)
	is.True(errors.As(call(foreign), &unreachable))
	is.True(target.Snapshot().Refused >= 4)
}

func TestRestartedPeerIsReachedAgain(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	client, _ := s.start(s.config("a1", 1))
	config := s.config("a2", 1)
	server, stop := s.start(config)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	to := peer("a2", server)
	_, err := client.Call(ctx, to, "echo", nil)
	is.NoErr(err)
	stop()
	config.Listen = to.Address
	config.Self.Incarnation = 2
	s.start(config)
	for {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		_, err = client.Call(attempt, to, "echo", nil)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	is.NoErr(err)
}

func TestCallToSelfNeedsNoConnection(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	m, stop := s.start(s.config("a1", 1))
	answer, err := m.Call(context.Background(), peer("a1", m), "echo", []byte("x"))
	is.NoErr(err)
	is.Equal(string(answer), "a1:x")
	is.Equal(m.Snapshot().Dialed, uint64(0))
	stop()
	var closed *messenger.Closed
	_, err = m.Call(context.Background(), peer("a1", m), "echo", nil)
	is.True(errors.As(err, &closed))
}
