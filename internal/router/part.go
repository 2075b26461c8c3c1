package router

// Part is a part of a prompt that requests may have in common.
type Part struct {
	// Hash identifies the part together with all parts before it and with what
	// reads it. Equal hashes mean that what an engine keeps can be used again.
	Hash uint64
	// Tokens is its length, in tokens.
	Tokens int64
}
