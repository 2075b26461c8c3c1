package reporter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter/reporterpb"
)

// encode returns the message of a report: its counts, and its shape (the part that rarely
// changes) if requested.
func encode(u *upstreamState, withShape bool) *reporterpb.Load {
	load := &reporterpb.Load{
		Upstream: u.name,
		Start:    u.report.Start,
		Sequence: u.report.Sequence,
		At:       u.report.At.UnixNano(),
		Used:     u.report.Used,
		Running:  int32(u.report.Running),
		Waiting:  int32(u.report.Waiting),
		Digest:   u.digest,
	}
	for _, loaded := range u.report.Copies {
		load.Copies = append(load.Copies, int32(loaded.Running))
	}
	if withShape {
		load.Shape = encodeShape(u.report)
	}
	return load
}

// encodeShape returns the message of the part of a report that rarely changes.
func encodeShape(report Report) *reporterpb.Shape {
	shape := &reporterpb.Shape{
		Bytes:   report.Bytes,
		Slots:   int32(report.Slots),
		Epoch:   report.Epoch,
		Leaving: report.Leaving,
		Role:    report.Role,
		Cached:  make(map[string]string, len(report.Cached)),
	}
	for checkpoint, place := range report.Cached {
		shape.Cached[checkpoint] = string(place)
	}
	for _, loaded := range report.Copies {
		shape.Copies = append(shape.Copies, &reporterpb.Copy{
			Checkpoint: loaded.Checkpoint,
			Bytes:      loaded.Bytes,
			State:      string(loaded.State),
			Order:      loaded.Order,
			Adapters:   loaded.Adapters,
			Reading:    loaded.Reading,
		})
	}
	return shape
}

// decode returns the report of a message. It returns false if the shape is missing: the message
// has none, and the stored one has another digest or number of copies.
func (r *Reporter) decode(load *reporterpb.Load) (Report, bool) {
	report, ok := r.shape(load)
	if !ok || len(load.Copies) != len(report.Copies) {
		return report, false
	}
	report.Upstream = load.Upstream
	report.Start = load.Start
	report.Sequence = load.Sequence
	report.At = time.Unix(0, load.At)
	report.Used = load.Used
	report.Running = int(load.Running)
	report.Waiting = int(load.Waiting)
	copies := make([]Copy, len(report.Copies))
	for i, loaded := range report.Copies {
		loaded.Running = int(load.Copies[i])
		copies[i] = loaded
	}
	report.Copies = copies
	return report, true
}

// shape returns a report with the shape of a message, or the stored report if the message has
// no shape but the digest of the stored one. Otherwise it returns false.
func (r *Reporter) shape(load *reporterpb.Load) (Report, bool) {
	if load.Shape == nil {
		r.mu.RLock()
		defer r.mu.RUnlock()
		u := r.upstreams[load.Upstream]
		if u == nil || u.received.IsZero() || u.digest != load.Digest {
			return Report{}, false
		}
		return u.report, true
	}
	report := Report{
		Bytes:   load.Shape.Bytes,
		Slots:   int(load.Shape.Slots),
		Epoch:   load.Shape.Epoch,
		Leaving: load.Shape.Leaving,
		Role:    load.Shape.Role,
	}
	if len(load.Shape.Cached) > 0 {
		report.Cached = make(map[string]Place, len(load.Shape.Cached))
	}
	for checkpoint, place := range load.Shape.Cached {
		report.Cached[checkpoint] = Place(place)
	}
	for _, loaded := range load.Shape.Copies {
		report.Copies = append(report.Copies, Copy{
			Checkpoint: loaded.Checkpoint,
			Bytes:      loaded.Bytes,
			State:      CopyState(loaded.State),
			Order:      loaded.Order,
			Adapters:   loaded.Adapters,
			Reading:    loaded.Reading,
		})
	}
	return report, true
}
