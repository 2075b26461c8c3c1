package limiter

import "slices"

// table is the stored document of a limit duty. It records which instances may hold budget of the domain
// before any is lent to them, so that the next holder counts that budget as still in use.
type table struct {
	// Epoch is the epoch of the holder that wrote the table.
	Epoch uint64 `json:"epoch"`
	// Write identifies the write.
	Write string `json:"write"`
	// Lend is the largest fraction of the domain's burst that may be lent at once.
	Lend float64 `json:"lend"`
	// Members are the instances that may hold loans; the value reports whether they have a reserve.
	Members map[string]bool `json:"members"`
	// Debts are loans of former epochs that are not accounted for yet.
	Debts []debt `json:"debts,omitempty"`
}

// debt is a fraction of the domain's burst that instances may still hold from a former epoch.
type debt struct {
	// Lend is the fraction of the burst.
	Lend float64 `json:"lend"`
	// Names are the instances that have not reported since.
	Names []string `json:"names"`
}

// clone returns a deep copy.
func (t table) clone() table {
	copied := t
	copied.Members = make(map[string]bool, len(t.Members))
	for name, reserve := range t.Members {
		copied.Members[name] = reserve
	}
	copied.Debts = make([]debt, 0, len(t.Debts))
	for _, d := range t.Debts {
		copied.Debts = append(copied.Debts, debt{
			Lend:  d.Lend,
			Names: slices.Clone(d.Names),
		})
	}
	return copied
}

// successor returns the table of a new epoch: the loans of the former one become a debt. The budget to lend
// from is a fraction of the domain's burst.
func (t table) successor(epoch uint64, budget float64) table {
	next := t.clone()
	next.Epoch = epoch
	if len(t.Members) > 0 && t.Lend > 0 {
		names := make([]string, 0, len(t.Members))
		for name := range t.Members {
			names = append(names, name)
		}
		slices.Sort(names)
		next.Debts = append(next.Debts, debt{
			Lend:  t.Lend,
			Names: names,
		})
	}
	next.Lend = next.lendable(budget)
	return next
}

// lendPart is the fraction of the remaining budget that an epoch may lend at once. The rest is left for its
// successor, until the loans are accounted for.
const lendPart = 0.75

// lendable returns the fraction of the burst that may be lent besides the debts.
func (t table) lendable(budget float64) float64 {
	return max(0, budget-t.owed()) * lendPart
}

// owed returns the fraction of the burst that former epochs may have lent.
func (t table) owed() float64 {
	total := 0.0
	for _, d := range t.Debts {
		total += d.Lend
	}
	return total
}

// clearDebts removes an instance from the debts.
func (t *table) clearDebts(name string) {
	kept := t.Debts[:0]
	for _, d := range t.Debts {
		d.Names = slices.DeleteFunc(d.Names, func(other string) bool { return other == name })
		if len(d.Names) > 0 {
			kept = append(kept, d)
		}
	}
	t.Debts = kept
}

// reserves returns the number of members with a reserve.
func (t table) reserves() int {
	count := 0
	for _, reserve := range t.Members {
		if reserve {
			count++
		}
	}
	return count
}
