package prover_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// TestLoadsStayWithinMemoryAndReplicas guards against loads beyond an engine's
// memory or beyond a model's number of copies in a failure domain. It requests
// more models than one engine can hold, at all instances of the domain at once,
// while the holder of the placement duty is frozen past its lease, its successor
// is killed, and an engine dies during a load. The engines ignore fencing
// numbers, so orders of a former holder are not refused by them.
func TestLoadsStayWithinMemoryAndReplicas(t *testing.T) {
	is := is.New(t)
	config := twoDomains()
	// Each engine has memory for two of the four models.
	config.Engine = append(config.Engine, fmt.Sprintf("--bytes=%d", 2*(prover.ModelBytes+prover.AdapterBytes)+1))
	config.Weights = []string{"--speed=8000000000"}
	config.Domains[0].Instances = 3
	config.Domains[0].Engines = 2
	models := []string{"ledger", "router", "boots", "depot"}
	ctx, fixture := prepare(t, config, prover.Setup{
		Models:   models,
		Replicas: 1,
	})
	site := fixture.Site
	counter := &copyCounter{
		maxCopies: map[string]int{},
	}
	var group, sampling sync.WaitGroup
	stop := make(chan struct{})
	sampling.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				counter.sample(t, fixture, "a")
			}
		}
	})
	served := make([]bool, 48)
	for k := range served {
		instance := site.Instances[k%3]
		group.Go(func() {
			time.Sleep(time.Duration(k) * 100 * time.Millisecond)
			answer := fixture.Caller(instance).Complete(ctx, prover.CompletionRequest{
				Model:  models[k%len(models)],
				Prompt: fmt.Sprintf("question %d", k),
				Tokens: 3,
			})
			served[k] = answer.Complete
		})
	}
	holder := site.Instance(holderOf(t, fixture, "place/0"))
	time.Sleep(500 * time.Millisecond)
	holder.Freeze()
	is.NoErr(site.Post(ctx, site.Engines[0].Callers, "/control/fault", faulter.Fault{
		Kind:  faulter.Die,
		Count: 1,
	}))
	eventually(t, "the placement duty is held by another instance", func() bool {
		other := holderOf(t, fixture, "place/0")
		return other != "" && other != holder.Name
	})
	holder.Thaw()
	time.Sleep(500 * time.Millisecond)
	successor := site.Instance(holderOf(t, fixture, "place/0"))
	successor.Kill()
	is.NoErr(successor.Restart())
	group.Wait()
	close(stop)
	sampling.Wait()

	for _, engine := range site.Engines {
		var state runner.State
		is.NoErr(site.Read(ctx, engine.Callers, "/control/state", &state))
		is.Equal(state.Excess, 0)
	}
	for checkpoint, most := range counter.maxCopies {
		if most > 1 {
			t.Errorf("checkpoint %s had %d copies at once in a failure domain, allowed is 1", checkpoint, most)
		}
	}
	is.True(len(counter.maxCopies) == len(models)) // every model was loaded at least once
}

// copyCounter records, for each checkpoint, the highest number of copies in any
// state that the engines of a failure domain reported at the same time.
type copyCounter struct {
	maxCopies map[string]int
}

// sample counts the copies that the domain's engines report and raises the maxima. Engines that don't answer are skipped.
func (w *copyCounter) sample(t *testing.T, fixture *prover.Fixture, domain string) {
	copies := map[string]int{}
	for _, engine := range fixture.Site.Engines {
		if engine.Domain != domain {
			continue
		}
		var report reporter.Report
		if fixture.Site.Read(t.Context(), engine.Callers, "/v1/load", &report) != nil {
			continue
		}
		for _, loaded := range report.Copies {
			copies[loaded.Checkpoint]++
		}
	}
	for checkpoint, count := range copies {
		w.maxCopies[checkpoint] = max(w.maxCopies[checkpoint], count)
	}
}

// dutyDump is the part of an instance's state dump that lists the duties and whether the instance holds them.
type dutyDump struct {
	Duties struct {
		Duties []struct {
			Duty string `json:"duty"`
			Held bool   `json:"held"`
		} `json:"duties"`
	} `json:"duties"`
}

// holderOf waits until an instance of domain a reports that it holds the duty, and returns its name.
func holderOf(t *testing.T, fixture *prover.Fixture, duty string) string {
	t.Helper()
	name := ""
	eventually(t, "an instance holds duty "+duty, func() bool {
		for _, instance := range fixture.Site.Instances {
			if instance.Domain == "a" && holds(t, fixture, instance, duty) {
				name = instance.Name
				return true
			}
		}
		return false
	})
	return name
}

// holds reports whether the instance's state dump lists the duty as held.
func holds(t *testing.T, fixture *prover.Fixture, instance *starter.Process, duty string) bool {
	var raw json.RawMessage
	if fixture.Site.Read(t.Context(), instance.Admin, "/dump?part=duties", &raw) != nil {
		return false
	}
	var dump dutyDump
	if json.Unmarshal(raw, &dump) != nil {
		return false
	}
	for _, row := range dump.Duties.Duties {
		if row.Duty == duty && row.Held {
			return true
		}
	}
	return false
}
