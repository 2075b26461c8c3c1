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
// memory or beyond the decided number of copies. It requests more models than fit, at all
// instances at once, while the holder of the placement duty is frozen past its
// lease, its successor is killed, and an engine dies during a load. Engines ignore fencing numbers.
func TestLoadsStayWithinMemoryAndReplicas(t *testing.T) {
	is := is.New(t)
	config := twoDomains()
	// Two of the four models fit.
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
	watch := &copyWatch{
		most: map[string]int{},
	}
	var group, watching sync.WaitGroup
	stop := make(chan struct{})
	watching.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				watch.sample(t, fixture, "a")
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
	second := site.Instance(holderOf(t, fixture, "place/0"))
	second.Kill()
	is.NoErr(second.Restart())
	group.Wait()
	close(stop)
	watching.Wait()

	for _, engine := range site.Engines {
		var state runner.State
		is.NoErr(site.Read(ctx, engine.Callers, "/control/state", &state))
		is.Equal(state.Excess, 0)
	}
	for checkpoint, most := range watch.most {
		if most > 1 {
			t.Errorf("checkpoint %s had %d copies at once in a failure domain, allowed is 1", checkpoint, most)
		}
	}
	is.True(len(watch.most) == len(models)) // every model was loaded at least once
}

// copyWatch records the highest number of copies of each checkpoint that were loaded at the same time.
type copyWatch struct {
	most map[string]int
}

// sample counts the copies that the domain's engines report and raises the maxima. Engines that don't answer are skipped.
func (w *copyWatch) sample(t *testing.T, fixture *prover.Fixture, domain string) {
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
		w.most[checkpoint] = max(w.most[checkpoint], count)
	}
}

// dutyRows is the part of an instance's state dump that lists the duties it holds.
type dutyRows struct {
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
	var rows dutyRows
	if json.Unmarshal(raw, &rows) != nil {
		return false
	}
	for _, row := range rows.Duties.Duties {
		if row.Duty == duty && row.Held {
			return true
		}
	}
	return false
}
