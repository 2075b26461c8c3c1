package forwarder

import "bytes"

// event is one server-sent event. Its slices are valid until the next event is read.
type event struct {
	// raw is the complete event including the terminating blank line.
	raw []byte
	// data is the value of its data field.
	data []byte
	// id is the number in its id field, or -1.
	id int64
}

// done reports whether the event marks the end of the stream.
func (e *event) done() bool { return bytes.Equal(e.data, doneData) }
