package prover_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// putTeam returns the operation that creates a team with the given rate.
func putTeam(name string, rate float64) configurator.Operation {
	return configurator.Operation{
		Action: configurator.ActionPut,
		Team: &configurator.Team{
			Name:  name,
			Rate:  rate,
			Burst: 1000,
		},
	}
}

// TestAcceptedActsHoldThroughRacesAndLostAnswers guards against lost and
// doubled acts: operators act at all instances at once, while the store applies
// writes but drops its answers to them.
func TestAcceptedActsHoldThroughRacesAndLostAnswers(t *testing.T) {
	is := is.New(t)
	const acts = 10
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{})
	site := fixture.Site
	is.NoErr(site.SetFaults(ctx, platformer.Faults{
		Lost: 12,
	}))
	var group sync.WaitGroup
	var mutex sync.Mutex
	accepted := map[string]uint64{}
	for o, instance := range site.Instances {
		client, err := site.Operator(instance)
		is.NoErr(err)
		group.Go(func() {
			for n := range acts {
				name := fmt.Sprintf("team-%d-%d", o, n)
				for {
					// Retries use the same identity, so the act is applied once.
					receipt, err := client.Act(ctx, name, putTeam(name, 1))
					if err == nil {
						mutex.Lock()
						accepted[name] = receipt.Revision
						mutex.Unlock()
						break
					}
					if ctx.Err() != nil {
						return
					}
				}
			}
		})
	}
	group.Wait()
	is.Equal(len(accepted), acts*len(site.Instances))
	revisions := map[uint64]string{}
	for name, revision := range accepted {
		is.Equal(revisions[revision], "") // no two acts share a revision
		revisions[revision] = name
	}
	for _, instance := range site.Instances {
		eventually(t, "all acts are in force at "+instance.Name, func() bool {
			return len(teamNames(t, fixture, instance.Name)) == len(accepted)+1
		})
	}
}

// teamNames returns the names of the teams in force at an instance.
func teamNames(t *testing.T, fixture *prover.Fixture, instance string) []string {
	t.Helper()
	client, err := fixture.Site.Operator(fixture.Site.Instance(instance))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	page, err := client.List(t.Context(), configurator.KindTeam, 0, 500)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, record := range page.Records {
		names = append(names, record.Team.Name)
	}
	return names
}

// TestConfigurationNeverRevertsWithTheStore restores the store from an older
// snapshot. Running instances must keep the newer configuration, and an
// instance that starts afterwards must learn it from them.
func TestConfigurationNeverRevertsWithTheStore(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{})
	site := fixture.Site
	client, err := site.Operator(site.Instances[2])
	is.NoErr(err)
	is.NoErr(site.Control(ctx, platformer.PathSave, struct{}{}))
	_, err = client.Act(ctx, "newer", putTeam("newer", 5))
	is.NoErr(err)
	is.NoErr(site.Control(ctx, platformer.PathRestore, struct{}{}))
	restarted := site.Instances[0]
	restarted.Kill()
	is.NoErr(restarted.Restart())
	is.NoErr(site.AwaitReady(ctx, restarted, time.Now().Add(waitTimeout)))
	for _, instance := range site.Instances {
		is.Equal(len(teamNames(t, fixture, instance.Name)), 2)
	}
	// Later acts build on the configuration in force, not on the store's older state.
	eventually(t, "an act is accepted after the restore", func() bool {
		_, err := client.Act(ctx, "newest", putTeam("newest", 6))
		return err == nil
	})
	for _, instance := range site.Instances {
		eventually(t, "the act after the restore is in force at "+instance.Name, func() bool {
			return len(teamNames(t, fixture, instance.Name)) == 3
		})
	}
}
