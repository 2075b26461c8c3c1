package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// fixture is an emulated platform with one instance's Spreader and operators' Server on a loopback address.
type fixture struct {
	t         *testing.T
	platform  *platformer.Platform
	spreader  *spreader.Spreader
	authority *certifier.Authority
	address   netip.AddrPort
}

// runner runs a component until its context ends and closes done after it.
type runner struct {
	serve func(context.Context) error
	done  chan struct{}
}

func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	_ = r.serve(ctx)
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	f := &fixture{
		t:        t,
		platform: platformer.New(platformer.Config{}),
	}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	f.spreader = spreader.New(spreader.Config{
		Store: binder.New(binder.Config{
			URL:    "http://platform",
			Client: f.platform.Client(),
		}),
		Self: messenger.Sender{
			Name: "a1",
		},
		Log: logrus.NewEntry(log),
	})
	authority, err := certifier.NewAuthority(time.Now().Add(time.Hour), nil)
	is.NoErr(err)
	f.authority = authority
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f.address = netip.MustParseAddrPort(listener.Addr().String())
	server := operator.New(operator.Config{
		Spreader: f.spreader,
		TLS:      f.identity(certifier.UnitInstance, "a1").Server(),
		Log:      logrus.NewEntry(log),
		Dump: func(_ context.Context, name string) ([]byte, error) {
			return []byte(`{"name":"` + name + `"}`), nil
		},
		Instances: func(context.Context) ([]operator.Instance, error) {
			return []operator.Instance{{
				Name:    "a1",
				Address: f.address,
			}}, nil
		},
	})
	f.start(f.spreader.Run)
	f.start(func(ctx context.Context) error { return server.Serve(ctx, listener) })
	for !f.spreader.Ready() {
		time.Sleep(time.Millisecond)
	}
	return f
}

// start runs a component until the end of the test, which waits for it to return.
func (f *fixture) start(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		serve: serve,
		done:  make(chan struct{}),
	}
	go r.run(ctx)
	f.t.Cleanup(func() {
		cancel()
		<-r.done
	})
}

func (f *fixture) identity(unit certifier.Unit, name string) *certifier.Identity {
	f.t.Helper()
	subject := certifier.Subject{
		Name: name,
		Unit: unit,
	}
	if unit == certifier.UnitInstance {
		subject.Domain = "a"
	}
	identity, err := f.authority.NewIdentity(subject)
	if err != nil {
		f.t.Fatal(err)
	}
	return identity
}

func (f *fixture) client(identity *certifier.Identity) *operator.Client {
	f.t.Helper()
	client, err := operator.Dial(operator.ClientConfig{
		Address: f.address,
		TLS:     identity.Client(""),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = client.Close() })
	return client
}

func team(name string) configurator.Operation {
	return configurator.Operation{
		Action: configurator.ActionCreate,
		Team: &configurator.Team{
			Name:  name,
			Rate:  5,
			Burst: 7,
		},
	}
}

func TestOperatorChangesAndReadsConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := f.client(f.identity(certifier.UnitOperator, "ann"))
	ctx := t.Context()
	receipt, err := client.Act(ctx, "1", team("crates"))
	is.NoErr(err)
	is.Equal(receipt.Revision, uint64(1))
	is.Equal(receipt.InForce, 1)
	receipt, err = client.Act(ctx, "1", team("crates"))
	is.NoErr(err)
	is.True(receipt.Repeated)

	secret, _, err := client.CreateKey(ctx, "2", configurator.Key{
		Name: "k1",
		Team: "crates",
	})
	is.NoErr(err)
	is.True(len(secret) >= 26)
	sum := sha256.Sum256([]byte(secret))
	hash := hex.EncodeToString(sum[:])
	_, known := f.spreader.Current().KeyByHash(sum)
	is.True(known)
	page, err := client.List(ctx, configurator.KindKey, 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
	is.Equal(page.Records[0].Key.Hash, "")
	is.True(!page.Records[0].Withdrawn)

	withdrawal, err := client.Withdraw(ctx, false, configurator.Withdrawal{
		Subject: configurator.SubjectKey,
		Name:    "k1",
	})
	is.NoErr(err)
	is.True(withdrawal.ID != "")
	is.Equal(withdrawal.Revision, f.spreader.Current().Revision())
	page, err = client.List(ctx, configurator.KindKey, 0, 0)
	is.NoErr(err)
	is.True(page.Records[0].Withdrawn)

	acts, err := client.History(ctx)
	is.NoErr(err)
	is.Equal(len(acts), 3)
	for _, act := range acts {
		is.Equal(act.Operator, "ann")
		is.True(!strings.Contains(strings.Join(act.Operations, " "), hash))
	}
	differences, err := client.Diff(ctx, 1, 2)
	is.NoErr(err)
	is.Equal(differences[0].Name, "k1")
	state, err := client.Dump(ctx, "a9")
	is.NoErr(err)
	is.Equal(string(state), `{"name":"a9"}`)
	instances, err := client.Instances(ctx)
	is.NoErr(err)
	is.Equal(instances[0].Address, f.address)
}

func TestUnknownWithdrawalIsRefusedUnlessForced(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := f.client(f.identity(certifier.UnitOperator, "ann"))
	misspelt := configurator.Withdrawal{
		Subject: configurator.SubjectBatch,
		Name:    "b1",
	}
	_, err := client.Withdraw(t.Context(), false, misspelt)
	var refused *operator.Refused
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, operator.CodeNotFound)
	_, err = client.Withdraw(t.Context(), true, misspelt)
	is.NoErr(err)
}

func TestWithdrawalDuringStoreOutageIsNotDurable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageRefuse,
	})
	client := f.client(f.identity(certifier.UnitOperator, "ann"))
	receipt, err := client.Withdraw(t.Context(), true, configurator.Withdrawal{
		Subject: configurator.SubjectBatch,
		Name:    "b1",
	})
	is.NoErr(err)
	is.True(!receipt.Durable)
	_, err = client.Act(t.Context(), "1", team("crates"))
	var refused *operator.Refused
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, operator.CodeUnavailable)
}

func TestInstanceCertificateIsDenied(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := f.client(f.identity(certifier.UnitInstance, "a2"))
	_, err := client.Act(t.Context(), "1", team("crates"))
	var failed *operator.CallFailed
	is.True(errors.As(err, &failed))
	_, ok := f.spreader.Current().Team("crates")
	is.True(!ok)
}

func TestExportAndImport(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := f.client(f.identity(certifier.UnitOperator, "ann"))
	_, err := client.Act(t.Context(), "1", team("crates"))
	is.NoErr(err)
	_, _, err = client.CreateKey(t.Context(), "2", configurator.Key{
		Name: "k1",
		Team: "crates",
	})
	is.NoErr(err)
	file, err := client.Export(t.Context())
	is.NoErr(err)
	other := newFixture(t)
	importer := other.client(other.identity(certifier.UnitOperator, "bob"))
	_, err = importer.Import(t.Context(), "3", file)
	is.NoErr(err)
	_, ok := other.spreader.Current().Key("k1")
	is.True(ok)
	differences, err := importer.DiffFile(t.Context(), file)
	is.NoErr(err)
	is.Equal(len(differences), 0)
}
