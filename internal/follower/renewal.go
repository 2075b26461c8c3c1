package follower

import "github.com/buckthorngap/buckthorngap/pkg/storer"

// Renewal is a rewritten entry whose compared part is the same as before.
type Renewal struct {
	// Key is the entry's key.
	Key string
	// Revision is the revision of the last write.
	Revision storer.Revision
}
