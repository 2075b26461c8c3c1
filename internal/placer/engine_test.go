package placer

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// singleHolderConfig configures a placer that always holds its duty and sends orders over
// HTTP to an emulated engine.
func singleHolderConfig(engine *runner.Runner, address string) Config {
	log := logrus.New()
	log.SetOutput(io.Discard)
	catalog := adapterState().Catalog
	upstream := storer.Instance{
		Name:    "engine",
		Domain:  "d0",
		Role:    storer.RoleEngine,
		Address: netip.MustParseAddrPort(address),
	}
	return Config{
		Self: messenger.Sender{
			Name: "self",
		},
		Domain:  "d0",
		Domains: []string{"d0"},
		Term: func(string) (Term, bool) {
			return Term{
				Epoch: 1,
				Check: func() error { return nil },
			}, true
		},
		Owner: func(string) (messenger.Peer, uint64, bool) {
			return messenger.Peer{
				Name: "self",
			}, 1, true
		},
		Store:   newFakeStore().bind(func() {}),
		Catalog: func() Catalog { return catalog },
		Engines: func() []storer.Instance { return []storer.Instance{upstream} },
		Report: func(string) (reporter.Report, time.Time, bool) {
			return engine.Report(), time.Now(), true
		},
		Order: orderer.New(orderer.Config{}).Order,
		Log:   log,
		Settings: parser.Loading{
			Loads:    3,
			Slots:    4,
			Adapters: 30,
			Idle: parser.Duration{
				Duration: time.Second,
			},
			Expiry: parser.Duration{
				Duration: 200 * time.Millisecond,
			},
			Policy: parser.EvictAge,
		},
	}
}

// awaitCopies waits until the engine's copies satisfy a condition, for 10 seconds at most.
func awaitCopies(engine *runner.Runner, condition func([]reporter.Copy) bool) bool {
	for range 1000 {
		if condition(engine.Report().Copies) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestOrdersReachAnEngineOverHTTP(t *testing.T) {
	is := is.New(t)
	engine := runner.New(runner.Config{
		Name:        "engine",
		MemoryBytes: 30,
		Fencing:     true,
	})
	server := httptest.NewServer(engine)
	defer server.Close()
	placer := New(singleHolderConfig(engine, server.Listener.Addr().String()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go placer.Run(ctx)
	placer.AddDemand(Demand{
		Model:    "m1",
		Adapter:  "a1",
		Class:    ClassInteractive,
		Deadline: time.Now().Add(time.Minute),
	})
	is.True(awaitCopies(engine, func(copies []reporter.Copy) bool {
		return len(copies) == 1 && copies[0].State == reporter.CopyReady && len(copies[0].Adapters) == 1
	}))
	is.Equal(engine.Report().Used, versionBytes("m1")+10)
	is.True(awaitCopies(engine, func(copies []reporter.Copy) bool { return len(copies) == 0 }))
}

// versionBytes returns the size of version v1 of a model in the fake catalog.
func versionBytes(model string) int64 {
	var version configurator.Version
	version, _ = fakeCatalog(nil, nil).Version(model, "v1")
	return version.Bytes
}
