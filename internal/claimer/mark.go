package claimer

// mark is the stored value of a claim.
type mark struct {
	// Digest is the hash of the call.
	Digest string `json:"digest"`
	// Write identifies the write that created the claim.
	Write string `json:"write"`
}
