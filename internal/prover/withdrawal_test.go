package prover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// TestWithdrawnKeyStopsWhileTheStoreIsOut withdraws a key while its caller
// receives streams and the platform's store is unreachable: open streams and
// new requests must be refused at every instance, also at one restarted later.
func TestWithdrawnKeyStopsWhileTheStoreIsOut(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger"},
	})
	site := fixture.Site
	short := prover.CompletionRequest{
		Model:  "ledger",
		Prompt: "warm",
		Tokens: 1,
	}
	for _, instance := range site.Instances {
		answer := fixture.Caller(instance).Complete(ctx, short)
		is.True(answer.Complete)
	}
	is.NoErr(site.SetFaults(ctx, platformer.Faults{
		Outage: platformer.OutageHang,
	}))

	streams := make(chan prover.Answer, len(site.Instances))
	for _, instance := range site.Instances {
		go func() {
			streams <- fixture.Caller(instance).Complete(ctx, prover.CompletionRequest{
				Model:  "ledger",
				Prompt: "long",
				Tokens: 30_000,
				Stream: true,
			})
		}()
	}
	time.Sleep(200 * time.Millisecond)
	client, err := site.Operator(site.Instances[3])
	is.NoErr(err)
	receipt, err := client.Withdraw(ctx, false, configurator.Withdrawal{
		Subject: configurator.SubjectKey,
		Name:    "clerk",
	})
	is.NoErr(err)
	is.Equal(receipt.InForce, len(site.Instances))
	is.True(!receipt.Durable) // the receipt reports that the store does not have it yet

	for range site.Instances {
		answer := <-streams
		is.True(!answer.Complete)
		is.Equal(answer.Code, "withdrawn")
	}
	for _, instance := range site.Instances {
		answer := fixture.Caller(instance).Complete(ctx, short)
		is.Equal(answer.Code, "withdrawn")
		is.Equal(answer.Outcome, "notrun")
	}

	// Once the store is reachable again, the withdrawal is stored, and a restarted instance applies it.
	is.NoErr(site.SetFaults(ctx, platformer.Faults{}))
	restarted := site.Instances[0]
	restarted.Kill()
	is.NoErr(restarted.Restart())
	is.NoErr(site.AwaitReady(ctx, restarted, time.Now().Add(waitTimeout)))
	again := fixture.Caller(restarted).Complete(ctx, short)
	is.Equal(again.Code, "withdrawn")
}

// TestWithdrawnBatchStopsEverywhereInOneAct withdraws a batch that holds the
// versions of two models: one act must stop both at every instance.
func TestWithdrawnBatchStopsEverywhereInOneAct(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger", "router"},
	})
	client, err := fixture.Site.Operator(fixture.Site.Instances[0])
	is.NoErr(err)
	receipt, err := client.Withdraw(ctx, false, configurator.Withdrawal{
		Subject: configurator.SubjectBatch,
		Name:    prover.Batch,
	})
	is.NoErr(err)
	is.True(receipt.Durable)
	is.Equal(receipt.InForce, len(fixture.Site.Instances))
	for _, instance := range fixture.Site.Instances {
		for _, model := range []string{"ledger", "router"} {
			answer := fixture.Caller(instance).Complete(ctx, prover.CompletionRequest{
				Model:  model,
				Prompt: "hello",
				Tokens: 1,
			})
			is.Equal(answer.Code, "model_not_found")
			is.Equal(answer.Outcome, "notrun")
		}
	}
}
