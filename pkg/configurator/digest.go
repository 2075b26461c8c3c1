package configurator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
)

// DigestBytes is the length of a Digest, in bytes.
const DigestBytes = sha256.Size

// Digest identifies the content of a set of records. It is the sum of the
// records' SHA-256, so that it can be updated for one replaced record without
// reading the others.
type Digest [DigestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the digest in hexadecimal; the error is always nil.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a digest in hexadecimal. Errors are *Malformed.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != DigestBytes {
		return &Malformed{
			What: "digest",
		}
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return &Malformed{
			What:  "digest",
			Cause: err,
		}
	}
	return nil
}

// laneBytes is the width of the integers, in bytes, that digests are added in.
const laneBytes = 8

// plus adds a digest, as when a record is added to a set.
func (d Digest) plus(other Digest) Digest {
	return d.combine(other, func(a, b uint64) uint64 { return a + b })
}

// minus subtracts a digest, as when a record is removed from a set.
func (d Digest) minus(other Digest) Digest {
	return d.combine(other, func(a, b uint64) uint64 { return a - b })
}

// combine applies an operation to each pair of 64-bit lanes, without carry
// between lanes.
func (d Digest) combine(other Digest, operation func(a, b uint64) uint64) Digest {
	var sum Digest
	for i := 0; i < DigestBytes; i += laneBytes {
		a := binary.LittleEndian.Uint64(d[i:])
		b := binary.LittleEndian.Uint64(other[i:])
		binary.LittleEndian.PutUint64(sum[i:], operation(a, b))
	}
	return sum
}

// digestRecord returns the digest of a record and the length of its JSON encoding
// in bytes.
func digestRecord[T record](value T) (Digest, int) {
	encoded, err := json.Marshal(value)
	if err != nil {
		// Unreachable: records hold only strings, finite numbers and times that
		// JSON can represent.
		panic(err)
	}
	return sha256.Sum256(encoded), len(encoded)
}
