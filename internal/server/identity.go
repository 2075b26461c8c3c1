package server

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
)

// identityBytes is the longest request identity taken from a caller.
const identityBytes = 64

// requestID returns the caller's request identity if it is safe to log and
// shows no secret, else a new one.
func requestID(given string, secrets []string) string {
	if safe(given) && !forwarder.ContainsSecret(secrets, given) {
		return given
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func safe(text string) bool {
	if text == "" || len(text) > identityBytes {
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
