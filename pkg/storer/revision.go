package storer

import "strconv"

// Revision is the position of a write among all writes to the store. Zero means that an entry is absent.
//
// A store that was restored from a copy counts on from the copy's number, so that it gives numbers out again. Each
// restoration begins an era, and every revision of an era follows those of the eras before it.
type Revision uint64

// numberBits is the number of low bits of a Revision that hold the store's own number.
const numberBits = 48

// MaxEra is the last era that a Revision can hold.
const MaxEra = 1<<(64-numberBits) - 1

// NewRevision returns the revision with a number of the store in an era, which is at most MaxEra. The number zero means
// absent in all eras.
func NewRevision(era, number uint64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(min(era, MaxEra)<<numberBits | min(number, 1<<numberBits-1))
}

// Era returns how often the store had been restored.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own number of the revision.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the number, after the era unless that is the first.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + number
}
