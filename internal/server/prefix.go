package server

import "strconv"

// prefixBytes is how much of a prompt names its prefix, in bytes.
const prefixBytes = 512

// prefix hashes what names the prefix of the prompt, together with team, model
// and adapter. It is 0 for prompts that are too short to have one.
func (p *passage) prefix() uint64 {
	named := p.completion.prefix
	if named == "" {
		if len(p.completion.prompt) < prefixBytes {
			return 0
		}
		named = string(p.completion.prompt[:prefixBytes])
	}
	return hashText(fnvOffset, p.key.Team, p.version.Checkpoint, p.adapter.Name, named)
}

// The constants of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashText goes on with a hash by FNV-1a over texts, each with an end.
func hashText(hash uint64, texts ...string) uint64 {
	for _, text := range texts {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * fnvPrime
		}
		hash = (hash ^ 0xff) * fnvPrime
	}
	return hash
}

// Prefix is the name under which engines publish a prompt's prefix.
func Prefix(hash uint64) string {
	if hash == 0 {
		return ""
	}
	return strconv.FormatUint(hash, 16)
}
