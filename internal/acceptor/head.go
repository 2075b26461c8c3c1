package acceptor

const (
	// lineMemory is the memory of a header line beside its bytes, in bytes: its place in the map of fields, and in the copy
	// that is sent on.
	lineMemory = 256
	// byteMemory is the memory of a byte of a head, in bytes: as received, as parsed and as sent on.
	byteMemory = 4
)

// head counts what a connection has received of the head of a request.
type head struct {
	lines, bytes int64
	// empty is set while the current line has no bytes yet.
	empty bool
	// begun is set once a line of the head has ended that is not empty; empty lines before it are not the end of the head.
	begun bool
}

// newHead returns the count of a head of which a number of lines and bytes may have been received already.
func newHead(lines, bytes int64) head {
	return head{
		lines: lines,
		bytes: bytes,
		empty: true,
	}
}

// add counts received bytes. It returns the number of bytes up to the end of the head and true if the head ends in them.
func (h *head) add(data []byte) (int, bool) {
	for i, c := range data {
		h.bytes++
		switch {
		case c == '\n':
			h.lines++
			if h.empty && h.begun {
				return i + 1, true
			}
			h.begun = h.begun || !h.empty
			h.empty = true
		case c != '\r':
			h.empty = false
		}
	}
	return len(data), false
}

// memory estimates the memory that the head takes, in bytes.
func (h *head) memory() int64 { return h.lines*lineMemory + h.bytes*byteMemory }
