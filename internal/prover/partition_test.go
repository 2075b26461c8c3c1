package prover_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// TestPartitionedDomainServesAndAppliesWithdrawalsOnceHealed partitions a
// failure domain from the other one and from the platform. The domain must go on
// serving, must apply withdrawals made elsewhere once the partition heals, and
// must accept withdrawals from its own operators meanwhile.
func TestPartitionedDomainServesAndAppliesWithdrawalsOnceHealed(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger", "router"},
	})
	site := fixture.Site
	inside, outside := site.Instance("a1"), site.Instance("b1")
	complete := func(name, model string) prover.Answer {
		return fixture.Caller(site.Instance(name)).Complete(ctx, prover.CompletionRequest{
			Model:  model,
			Prompt: "hello",
			Tokens: 2,
		})
	}
	warm := complete("a1", "ledger")
	is.True(warm.Complete)
	is.NoErr(site.Isolate(ctx, "a"))

	// A known key keeps working, for a loaded model and for a cold one.
	loaded, cold := complete("a2", "ledger"), complete("a1", "router")
	is.True(loaded.Complete)
	is.True(cold.Complete)

	// A withdrawal in the other domain stops the key there, and its receipt counts only the instances reached.
	client, err := site.Operator(outside)
	is.NoErr(err)
	receipt, err := client.Withdraw(ctx, false, configurator.Withdrawal{
		Subject: configurator.SubjectKey,
		Name:    "clerk",
	})
	is.NoErr(err)
	is.True(receipt.InForce < len(site.Instances))
	is.Equal(complete("b2", "ledger").Code, "withdrawn")

	// The withdrawal arrives once the partition heals.
	is.NoErr(site.SetPartitions(ctx))
	eventually(t, "the withdrawal is in force in the partitioned domain", func() bool {
		return complete("a1", "ledger").Code == "withdrawn" && complete("a2", "ledger").Code == "withdrawn"
	})

	// Operators inside a partitioned domain can withdraw there directly.
	is.NoErr(site.Isolate(ctx, "a"))
	local, err := site.Operator(inside)
	is.NoErr(err)
	batchReceipt, err := local.Withdraw(ctx, false, configurator.Withdrawal{
		Subject: configurator.SubjectBatch,
		Name:    prover.Batch,
	})
	is.NoErr(err)
	is.True(batchReceipt.InForce >= 2)
	is.NoErr(site.SetPartitions(ctx))
	eventually(t, "the batch's withdrawal is in force in the other domain", func() bool {
		page, err := client.List(ctx, configurator.KindBatch, 0, 10)
		return err == nil && len(page.Records) == 1 && page.Records[0].Withdrawn
	})
}
