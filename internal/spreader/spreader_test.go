package spreader

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// threeDomains starts seven nodes in three domains.
func threeDomains(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	for i := range 7 {
		c.start(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%3), nil)
	}
	c.waitUntilReady()
	return c
}

func TestActIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	receipt, err := c.nodes["n3"].Act(t.Context(), putTeam("act-1", "crates", 5))
	is.NoErr(err)
	is.Equal(receipt.InForce, 7)
	is.Equal(receipt.Members, 7)
	is.Equal(receipt.Revision, uint64(1))
	is.True(receipt.Durable)
	for _, n := range c.all() {
		team, ok := n.Current().Team("crates")
		is.True(ok)
		is.Equal(team.Rate, 5.0)
	}
	is.Equal(c.storedHead().Revision, uint64(1))
}

func TestRepeatedActIsIdempotent(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	change := putTeam("act-1", "crates", 5)
	change.Operations[0].Action = configurator.ActionCreate
	_, err := c.nodes["n1"].Act(t.Context(), change)
	is.NoErr(err)
	receipt, err := c.nodes["n2"].Act(t.Context(), change)
	is.NoErr(err)
	is.True(receipt.Repeated)
	is.Equal(receipt.Revision, uint64(1))
	other := putTeam("act-1", "boots", 1)
	_, err = c.nodes["n2"].Act(t.Context(), other)
	var reused *Reused
	is.True(errors.As(err, &reused))
}

func TestInvalidChangeIsNotCommitted(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	change := putTeam("act-1", "crates", -1)
	_, err := c.nodes["n1"].Act(t.Context(), change)
	var invalid *configurator.Invalid
	is.True(errors.As(err, &invalid))
	is.Equal(c.storedHead().Revision, uint64(0))
}

// racer commits one act concurrently with others.
type racer struct {
	node  *node
	group *sync.WaitGroup
	id    string
	err   error
}

func (r *racer) run(t *testing.T) {
	defer r.group.Done()
	_, r.err = r.node.Act(t.Context(), putTeam(r.id, r.id, 1))
}

func TestConcurrentActsAreAllCommitted(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	var group sync.WaitGroup
	var racers []*racer
	for i, n := range c.all() {
		r := &racer{
			node:  n,
			group: &group,
			id:    fmt.Sprintf("act-%d", i),
		}
		racers = append(racers, r)
		group.Add(1)
		go r.run(t)
	}
	group.Wait()
	for _, r := range racers {
		is.NoErr(r.err)
	}
	c.waitUntilEqual()
	is.Equal(c.nodes["n0"].Current().Revision(), uint64(7))
	for _, r := range racers {
		_, ok := c.nodes["n0"].Current().Team(r.id)
		is.True(ok)
	}
	c.checkNoOrphans()
}

// checkNoOrphans checks that no document of a lost race stays in the store, once repairs that are
// under way have ended.
func (c *cluster) checkNoOrphans() {
	c.t.Helper()
	is := is.New(c.t)
	c.waitUntil("every stored document is named by the head", func() bool {
		entries, err := c.nodes["n0"].config.Store.List(c.t.Context(), documentPrefix)
		is.NoErr(err)
		is.True(len(entries) > 0)
		head := c.storedHead()
		return !slices.ContainsFunc(entries, func(entry storer.Entry) bool { return !head.RefersTo(entry.Key) })
	})
}

// TestRepairThatLosesTheSwapLeavesNoDocuments guards against documents left in the store by a repair
// that wrote them and then lost the swap of the head to an act.
func TestRepairThatLosesTheSwapLeavesNoDocuments(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	n := c.nodes["n0"]
	_, err := n.Act(t.Context(), putTeam("act-1", "crates", 1))
	is.NoErr(err)
	stale, err := n.readHead(t.Context())
	is.NoErr(err)
	_, err = n.Act(t.Context(), putTeam("act-2", "boots", 1))
	is.NoErr(err)
	err = n.publish(t.Context(), stale, n.Current().RaiseRevision(stale.head.Revision+1), "")
	var conflict *storer.Conflict
	is.True(errors.As(err, &conflict))
	c.checkNoOrphans()
}

func TestActDuringOutageIsNotAccepted(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	c.platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageRefuse,
	})
	_, err := c.nodes["n0"].Act(t.Context(), putTeam("act-1", "crates", 5))
	var refused *NotAccepted
	is.True(errors.As(err, &refused))
}

func TestNewInstanceStartsFromPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	_, err := c.nodes["n0"].Act(t.Context(), putTeam("act-1", "crates", 5))
	is.NoErr(err)
	c.platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageRefuse,
	})
	c.start("n7", "d1", nil)
	c.waitUntilReady()
	is.Equal(c.nodes["n7"].Current().Revision(), uint64(1))
}

func TestLoneInstanceDuringOutageIsNotReady(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageRefuse,
	})
	n := c.start("n0", "d0", nil)
	_, err := n.Act(t.Context(), putTeam("act-1", "crates", 5))
	var unready *NotReady
	is.True(errors.As(err, &unready))
	c.platform.SetFaults(platformer.Faults{})
	c.waitUntilReady()
}

func TestWithdrawalDuringOutage(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	c.platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageRefuse,
	})
	receipt, err := c.nodes["n2"].Withdraw(t.Context(), withdrawal(configurator.SubjectBatch, "b7"))
	is.NoErr(err)
	is.Equal(receipt.InForce, 7)
	is.True(!receipt.Durable)
	for _, n := range c.all() {
		is.True(n.Current().Withdrawn(configurator.SubjectBatch, "b7"))
	}
	c.stop("n2") // the node that accepted it stops before the store is reachable
	c.platform.SetFaults(platformer.Faults{})
	c.waitUntil("the withdrawal is in the store", func() bool {
		entries, err := c.nodes["n0"].config.Store.List(t.Context(), withdrawalPrefix)
		return err == nil && len(entries) == 1
	})
}

func TestWithdrawalReachesPartitionedInstanceAtFirstContact(t *testing.T) {
	is := is.New(t)
	c := threeDomains(t)
	c.platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageRefuse,
	})
	for i := range 6 {
		c.setCut("n6", fmt.Sprintf("n%d", i), true)
	}
	receipt, err := c.nodes["n2"].Withdraw(t.Context(), withdrawal(configurator.SubjectKey, "k1"))
	is.NoErr(err)
	is.Equal(receipt.Missing, []string{"n6"})
	is.True(!c.nodes["n6"].Current().Withdrawn(configurator.SubjectKey, "k1"))
	c.setCut("n6", "n1", false)
	c.waitUntilEqual()
	is.True(c.nodes["n6"].Current().Withdrawn(configurator.SubjectKey, "k1"))
}
