package router

// PromptPart is a segment of a prompt that several requests may share.
type PromptPart struct {
	// Hash identifies the part together with all parts before it and with the model
	// that processes it. An engine can reuse cached results for an equal hash.
	Hash uint64
	// Name is the hash of the part's own name, whatever comes before it and whichever model processes it.
	Name uint64
	// Tokens is its length, in tokens.
	Tokens int64
}
