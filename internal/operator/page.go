package operator

// Page is one page of the list of records of one kind.
type Page struct {
	// Records are the records of the page. In each, only the field of its kind is set; hashes of keys are left out.
	Records []Record
	// Revision is the configuration revision that the page was read from.
	Revision uint64
	// More is set if further records follow the page.
	More bool
}
