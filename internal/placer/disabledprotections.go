package placer

// disabledProtections switches protections off, so that tests can show which faults each of
// them prevents.
type disabledProtections struct {
	// charges ignores intents when memory and copies are counted: only reports count.
	charges bool
	// quarantine places copies on engines whose reports may not show orders of earlier
	// holders.
	quarantine bool
	// expiryWait treats an intent as finished with the next report that does not show its
	// copy, without waiting until the order has expired.
	expiryWait bool
	// records sends orders that were not written to the store.
	records bool
	// termChecks sends orders without checking the term first.
	termChecks bool
	// slots ignores the slots that are in use.
	slots bool
	// readingAdapters ignores the memory of adapters that are still being read.
	readingAdapters bool
}
