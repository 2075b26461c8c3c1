package certifier_test

import (
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
)

// handshakeResult holds the error of each side of a handshake and the server's state of the connection.
type handshakeResult struct {
	client      error
	server      error
	serverState tls.ConnectionState
}

// handshake runs a TLS handshake over an in-memory connection. The server then sends one byte, since with TLS 1.3 the
// client learns only from a read that the server has refused its certificate.
func handshake(client, server *tls.Config) handshakeResult {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c, s := tls.Client(a, client), tls.Server(b, server)
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		if err != nil {
			b.Close()
		}
		done <- err
	}()
	err := c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	a.Close()
	return handshakeResult{
		client:      err,
		server:      <-done,
		serverState: s.ConnectionState(),
	}
}

func authority(t *testing.T) *certifier.Authority {
	t.Helper()
	a, err := certifier.NewAuthority(time.Now().Add(time.Hour), nil)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *certifier.Authority, subject certifier.Subject) *certifier.Identity {
	t.Helper()
	identity, err := a.NewIdentity(subject)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

func instance(name string) certifier.Subject {
	return certifier.Subject{
		Name:   name,
		Domain: "a",
		Unit:   certifier.UnitInstance,
	}
}

func TestHandshakeIsMutualAndBoundToTheName(t *testing.T) {
	is := is.New(t)
	ours := authority(t)
	server := issue(t, ours, instance("a1"))
	client := issue(t, ours, instance("a2"))
	foreign := issue(t, authority(t), instance("a1"))
	operator := issue(t, ours, certifier.Subject{
		Name: "wanjiru",
		Unit: certifier.UnitOperator,
	})

	got := handshake(client.Client("a1"), server.Server())
	is.NoErr(got.client)
	is.NoErr(got.server)
	subject, err := certifier.PeerSubject(got.serverState)
	is.NoErr(err)
	is.Equal(subject.Name, "a2")
	is.Equal(subject.Domain, "a")
	is.Equal(subject.Unit, certifier.UnitInstance)

	got = handshake(client.Client("a3"), server.Server())
	var mismatch *certifier.Mismatch
	is.True(errors.As(got.client, &mismatch)) // the server has another name

	got = handshake(client.Client("wanjiru"), operator.Server())
	is.True(got.client != nil) // an operator's certificate does not allow it to be a server

	got = handshake(client.Client("a1"), foreign.Server())
	var unverified *certifier.Unverified
	is.True(errors.As(got.client, &unverified)) // the server's certificate is from another authority

	got = handshake(foreign.Client(""), server.Server())
	is.True(got.server != nil) // the client's certificate is from another authority

	bare := client.Client("a1")
	bare.Certificates = nil
	got = handshake(bare, server.Server())
	is.True(got.server != nil) // the client has no certificate

	got = handshake(operator.Client(""), server.Server())
	is.NoErr(got.server)
	subject, err = certifier.PeerSubject(got.serverState)
	is.NoErr(err)
	is.Equal(subject.Unit, certifier.UnitOperator)
	is.True(certifier.CheckInstance(got.serverState, "") != nil) // an operator is not an instance
}

func TestDevelopmentSetLoads(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	is.NoErr(certifier.WriteDevelopment(certifier.Config{
		Directory: directory,
		Instances: []certifier.Subject{instance("a1"), instance("a2")},
		Operators: []string{"wanjiru"},
	}))
	server, err := certifier.Load(certifier.Files(directory, "a1"))
	is.NoErr(err)
	operator, err := certifier.Load(certifier.Files(directory, "wanjiru"))
	is.NoErr(err)
	is.Equal(operator.Subject.Unit, certifier.UnitOperator)
	got := handshake(operator.Client("a1"), server.Server())
	is.NoErr(got.client)
	is.NoErr(got.server)

	_, err = certifier.Load(certifier.Files(directory, "a9"))
	var unusable *certifier.Unusable
	is.True(errors.As(err, &unusable))
	crossed := certifier.Files(directory, "a1")
	crossed.Key = certifier.Files(directory, "a2").Key
	_, err = certifier.Load(crossed)
	is.True(errors.As(err, &unusable)) // the key belongs to another certificate
}

func TestExpiredCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	a, err := certifier.NewAuthority(time.Now().Add(-time.Minute), nil)
	is.NoErr(err)
	server, client := issue(t, a, instance("a1")), issue(t, a, instance("a2"))
	got := handshake(client.Client("a1"), server.Server())
	is.True(got.client != nil)
}
