package claimer

// claimValue is the stored value of a claim.
type claimValue struct {
	// Digest is the hash of the call.
	Digest string `json:"digest"`
	// Write identifies the write that created the claim.
	Write string `json:"write"`
}
