package runner

// Block is the KV cache of one prompt prefix, as engines export and import it.
type Block struct {
	// Prefix identifies the prefix: the request's prompt_cache_key.
	Prefix string `json:"prefix"`
	// Tokens is the content of the KV cache. The emulator exports zeroes and ignores the content on import.
	Tokens []byte `json:"tokens,omitempty"`
}
