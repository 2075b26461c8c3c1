package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Request is what a request is recognized by when it comes again, or when others have a part in common with it.
type Request struct {
	// Parts are the hashes of the names of the prompt's parts that others may have, too; nil if there is no prompt.
	Parts []uint64
	// Whole is the hash of the request as a whole, by IdentifyWhole; zero if unknown.
	Whole uint64
}

// Attempt is a request that was sent to an upstream.
type Attempt struct {
	Request
	// Sent is when it was sent.
	Sent time.Time
	// Begun is set if the answer had gone on for a while, so that the parts are not to blame for a crash.
	Begun bool
}

// names returns the names of the suspects that a crash under the attempt concerns.
func (a Attempt) names() []uint64 {
	var names []uint64
	if !a.Begun {
		names = append(names, a.Parts...)
	}
	if a.Whole != 0 {
		names = append(names, a.Whole)
	}
	return names
}

// IdentifyWhole returns the hash of a request as a whole, which is equal on all instances: the same caller, target and body
// make the same request, whatever upstream it goes to.
func IdentifyWhole(caller, target string, body []byte) uint64 {
	hash := sha256.New()
	for _, text := range []string{caller, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(text))
	}
	_, _ = hash.Write(body)
	var sum [sha256.Size]byte
	return max(1, binary.BigEndian.Uint64(hash.Sum(sum[:0])))
}
