package completer

// minLineBytes is what a line of a head counts at least, in bytes: a parsed line takes far more memory than the few bytes that it may
// consist of.
const minLineBytes = 64

// interimPrefix is how the status line of an interim answer begins, after which another head follows.
const interimPrefix = "HTTP/1.1 1"

// head counts what is received of the heads of one answer, interim ones included.
type head struct {
	// size is the sum of the lines that have ended, in bytes, each counted as minLineBytes at least.
	size int64
	// line is the length of the current line so far, in bytes, and filled is set once that line has a byte other than its end.
	line   int64
	filled bool
	// status is the beginning of the status line; begun is set once that line has ended.
	status []byte
	begun  bool
	// ended is set once the head of the final answer has ended.
	ended bool
}

// add counts received bytes and returns the size of the head so far, in bytes.
func (h *head) add(data []byte) int64 {
	for _, c := range data {
		if h.ended {
			break
		}
		h.line++
		switch {
		case c == '\n':
			h.endLine()
		case c != '\r':
			h.filled = true
			if !h.begun && len(h.status) < len(interimPrefix) {
				h.status = append(h.status, c)
			}
		}
	}
	return h.size + h.line
}

// endLine ends the current line. An empty one ends the head; those before the status line are part of it.
func (h *head) endLine() {
	interim := string(h.status) == interimPrefix
	switch {
	case h.filled:
		h.begun = true
	case h.begun && interim:
		h.begun, h.status = false, h.status[:0]
	case h.begun:
		h.ended = true
	}
	h.size += max(h.line, minLineBytes)
	h.line, h.filled = 0, false
}
