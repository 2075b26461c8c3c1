package server

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
)

// maxIdentityBytes is the length of the longest request identity accepted from a caller.
const maxIdentityBytes = 64

// requestID returns the caller's request identity if it is safe to log and contains no secret, else a random one.
func requestID(given string, secrets []string) string {
	if safeIdentity(given) && !forwarder.ContainsSecret(secrets, given) {
		return given
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// safeIdentity reports whether an identity is not empty, not too long and consists of letters, digits, '-', '_' and
// '.'.
func safeIdentity(text string) bool {
	if text == "" || len(text) > maxIdentityBytes {
		return false
	}
	for _, letter := range []byte(text) {
		switch {
		case 'a' <= letter && letter <= 'z', 'A' <= letter && letter <= 'Z', '0' <= letter && letter <= '9':
		case letter == '-' || letter == '_' || letter == '.':
		default:
			return false
		}
	}
	return true
}
