package prover_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// TestCutOffDomainServesAndHearsOfWithdrawalsAtFirstContact partitions a
// failure domain from the others and from the platform. The domain must go on
// serving, must apply withdrawals made elsewhere as soon as the partition
// heals, and must accept withdrawals of its own meanwhile.
func TestCutOffDomainServesAndHearsOfWithdrawalsAtFirstContact(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger", "router"},
	})
	site := fixture.Site
	inside, outside := site.Instance("a1"), site.Instance("b1")
	ask := func(name, model string) prover.Answer {
		return fixture.Caller(site.Instance(name)).Complete(ctx, prover.CompletionRequest{
			Model:  model,
			Prompt: "hello",
			Tokens: 2,
		})
	}
	warm := ask("a1", "ledger")
	is.True(warm.Complete)
	is.NoErr(site.Isolate(ctx, "a"))

	// A known key keeps working, for a loaded model and for a cold one.
	loaded, cold := ask("a2", "ledger"), ask("a1", "router")
	is.True(loaded.Complete)
	is.True(cold.Complete)

	// A withdrawal on the other side stops the key there, and its receipt counts only the instances reached.
	client, err := site.Operator(outside)
	is.NoErr(err)
	receipt, err := client.Withdraw(ctx, false, configurator.Withdrawal{
		Subject: configurator.SubjectKey,
		Name:    "clerk",
	})
	is.NoErr(err)
	is.True(receipt.InForce < len(site.Instances))
	is.Equal(ask("b2", "ledger").Code, "withdrawn")

	// The withdrawal arrives once the partition heals.
	is.NoErr(site.SetPartitions(ctx))
	eventually(t, "the withdrawal is in force in the partitioned domain", func() bool {
		return ask("a1", "ledger").Code == "withdrawn" && ask("a2", "ledger").Code == "withdrawn"
	})

	// Operators inside a partitioned domain can withdraw there directly.
	is.NoErr(site.Isolate(ctx, "a"))
	local, err := site.Operator(inside)
	is.NoErr(err)
	recalled, err := local.Withdraw(ctx, false, configurator.Withdrawal{
		Subject: configurator.SubjectBatch,
		Name:    prover.Batch,
	})
	is.NoErr(err)
	is.True(recalled.InForce >= 2)
	is.NoErr(site.SetPartitions(ctx))
	eventually(t, "the batch's withdrawal is in force in the other domain", func() bool {
		page, err := client.List(ctx, configurator.KindBatch, 0, 10)
		return err == nil && len(page.Records) == 1 && page.Records[0].Withdrawn
	})
}
