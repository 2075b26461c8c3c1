package storer

// Changes is the result of a watch or a scan.
type Changes struct {
	// Entries holds the changed entries that still exist, or all entries of a scan.
	Entries []Entry
	// Deleted holds the keys that were deleted or whose lease expired.
	Deleted []string
	// Revision is the store's revision up to which the changes are complete. The next
	// watch continues after it.
	Revision Revision
}
