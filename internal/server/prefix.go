package server

import "strconv"

// prefixBytes is how many bytes at the start of a prompt identify its prefix.
const prefixBytes = 512

// prefix returns a hash that identifies the prefix of the prompt for its team, model and adapter, from the caller's
// cache key or else the first bytes of the prompt. It is 0 for prompts that are too short to have one.
func (e *exchange) prefix() uint64 {
	prefixText := e.completion.cacheKey
	if prefixText == "" {
		if len(e.completion.prompt) < prefixBytes {
			return 0
		}
		prefixText = string(e.completion.prompt[:prefixBytes])
	}
	return hashText(fnvOffset, e.key.Team, e.version.Checkpoint, e.adapter.Name, prefixText)
}

// The constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashText extends an FNV-1a hash by texts. A terminator byte after each keeps ("a", "bc") and ("ab", "c") apart.
func hashText(hash uint64, texts ...string) uint64 {
	for _, text := range texts {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * fnvPrime
		}
		hash = (hash ^ 0xff) * fnvPrime
	}
	return hash
}

// prefixName returns the name under which engines publish a prompt's prefix; empty for 0.
func prefixName(hash uint64) string {
	if hash == 0 {
		return ""
	}
	return strconv.FormatUint(hash, 16)
}
