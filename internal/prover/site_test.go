package prover_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// waitTimeout bounds every wait of a test. It is a safety limit, not a
// requirement on speed: the tests assert what happens and in which order.
const waitTimeout = 40 * time.Second

// siteSlots is a semaphore that limits the number of sites that run at once to 3.
var siteSlots = make(chan struct{}, 3)

// twoDomains returns the site of most tests: two failure domains with two instances, one engine and one service each.
func twoDomains() starter.Config {
	return starter.Config{
		Domains: []starter.Domain{
			{
				Name:      "a",
				Instances: 2,
				Engines:   1,
				Services:  1,
			},
			{
				Name:      "b",
				Instances: 2,
				Engines:   1,
				Services:  1,
			},
		},
		Engine:  []string{"--token=1ms", "--first=5ms"},
		Weights: []string{"--speed=40000000000"},
		Settings: func(settings *parser.Settings) {
			settings.Shutdown.Notice.Duration = 300 * time.Millisecond
		},
	}
}

// prepare starts a site and puts a configuration in force. It makes the test
// parallel, waits for one of siteSlots, and stops the site when the test ends.
func prepare(t *testing.T, config starter.Config, setup prover.Setup) (context.Context, *prover.Fixture) {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	t.Cleanup(cancel)
	if setup.Rate == 0 {
		setup.Rate = 1e6
		setup.Burst = 1e7
	}
	config.Directory = t.TempDir()
	config.Source = "../.."
	site, err := starter.Start(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		site.Stop()
		if t.Failed() {
			printLogs(t, config.Directory)
		}
	})
	fixture, err := prover.NewFixture(ctx, site, setup)
	if err != nil {
		t.Fatal(err)
	}
	return ctx, fixture
}

// printLogs prints the last 3000 bytes of each process's log.
func printLogs(t *testing.T, directory string) {
	t.Helper()
	const tail = 3000
	files, _ := filepath.Glob(filepath.Join(directory, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-tail):])
	}
}

// eventually polls a condition until it holds, and fails the test once patience has passed.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
