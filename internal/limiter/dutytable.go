package limiter

import "slices"

// dutyTable is the stored document of a limit duty. It records which instances may hold budget of the domain
// before any is lent to them, so that the next holder counts that budget as still in use.
type dutyTable struct {
	// Epoch is the epoch of the holder that wrote the table.
	Epoch uint64 `json:"epoch"`
	// WriteID identifies the write.
	WriteID string `json:"write"`
	// LendLimit is the largest fraction of the domain's burst that may be lent at once.
	LendLimit float64 `json:"lend"`
	// Members are the instances that may hold loans; the value reports whether they have a reserve.
	Members map[string]bool `json:"members"`
	// Debts are the loans of former epochs that instances may still hold.
	Debts []debt `json:"debts,omitempty"`
}

// debt is a fraction of the domain's burst that instances may still hold from a former epoch.
type debt struct {
	// Fraction is the fraction of the domain's burst.
	Fraction float64 `json:"lend"`
	// Instances are the instances that have not reported their loans since.
	Instances []string `json:"names"`
}

// clone returns a deep copy.
func (t dutyTable) clone() dutyTable {
	copied := t
	copied.Members = make(map[string]bool, len(t.Members))
	for name, reserve := range t.Members {
		copied.Members[name] = reserve
	}
	copied.Debts = make([]debt, 0, len(t.Debts))
	for _, d := range t.Debts {
		copied.Debts = append(copied.Debts, debt{
			Fraction:  d.Fraction,
			Instances: slices.Clone(d.Instances),
		})
	}
	return copied
}

// successor returns the table of a new epoch: the loans of the former one become a debt. budget is the fraction
// of the domain's burst that is not split into reserves.
func (t dutyTable) successor(epoch uint64, budget float64) dutyTable {
	next := t.clone()
	next.Epoch = epoch
	if len(t.Members) > 0 && t.LendLimit > 0 {
		names := make([]string, 0, len(t.Members))
		for name := range t.Members {
			names = append(names, name)
		}
		slices.Sort(names)
		next.Debts = append(next.Debts, debt{
			Fraction:  t.LendLimit,
			Instances: names,
		})
	}
	next.LendLimit = next.lendableFraction(budget)
	return next
}

// completed returns the table as it may have been before the store was restored from a copy: the copy may lack members, and
// loans up to the largest sum.
func (t dutyTable) completed(instances []string, budget float64) dutyTable {
	whole := t.clone()
	for _, name := range instances {
		if _, known := whole.Members[name]; !known {
			whole.Members[name] = false
		}
	}
	whole.LendLimit = max(t.LendLimit, budget*lendFraction)
	return whole
}

// lendFraction is the fraction of the remaining budget that an epoch may lend at once. The rest is left for its
// successor, until the loans are accounted for.
const lendFraction = 0.75

// lendableFraction returns the fraction of the burst that may be lent besides the debts.
func (t dutyTable) lendableFraction(budget float64) float64 {
	return max(0, budget-t.debtFraction()) * lendFraction
}

// debtFraction returns the fraction of the burst that former epochs may have lent.
func (t dutyTable) debtFraction() float64 {
	total := 0.0
	for _, d := range t.Debts {
		total += d.Fraction
	}
	return total
}

// clearDebts removes an instance from the debts, and the debts that no instance is left in.
func (t *dutyTable) clearDebts(name string) {
	kept := t.Debts[:0]
	for _, d := range t.Debts {
		d.Instances = slices.DeleteFunc(d.Instances, func(other string) bool { return other == name })
		if len(d.Instances) > 0 {
			kept = append(kept, d)
		}
	}
	t.Debts = kept
}

// reserves returns the number of members with a reserve.
func (t dutyTable) reserves() int {
	count := 0
	for _, reserve := range t.Members {
		if reserve {
			count++
		}
	}
	return count
}
