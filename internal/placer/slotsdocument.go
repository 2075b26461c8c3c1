package placer

import (
	"slices"
	"time"
)

// waiterTTL is how long a group counts as waiting for a slot after its last request.
const waiterTTL = 2 * time.Second

// slotsDocument is the stored document that assigns the floating slots to groups.
type slotsDocument struct {
	// Write identifies the write that stored the document.
	Write string `json:"write"`
	// Slots are all floating slots.
	Slots []floatingSlot `json:"slots"`
	// Waiting is the queue of groups that found no free slot.
	Waiting []slotWaiter `json:"waiting,omitempty"`
}

// floatingSlot is one floating slot.
type floatingSlot struct {
	// Name is the slot's name.
	Name string `json:"name"`
	// Group is the domain and duty that owns the slot, or empty.
	Group string `json:"group,omitempty"`
	// Epoch is the epoch of the duty that may use or return the slot.
	Epoch uint64 `json:"epoch,omitempty"`
}

// slotWaiter is a group that waits for a slot.
type slotWaiter struct {
	// Group is its domain and duty.
	Group string `json:"group"`
	// Expiry is when the entry is dropped unless it is renewed.
	Expiry time.Time `json:"expiry"`
}

// adopt transfers the slots of a group's earlier epochs to this one, because their holders
// can no longer return them. It reports whether anything changed.
func (d *slotsDocument) adopt(group string, epoch uint64) bool {
	changed := false
	for i := range d.Slots {
		if slot := &d.Slots[i]; slot.Group == group && slot.Epoch < epoch {
			slot.Epoch = epoch
			changed = true
		}
	}
	return changed
}

// owned returns the slots that an epoch of a group may use.
func (d *slotsDocument) owned(group string, epoch uint64) []string {
	var names []string
	for _, slot := range d.Slots {
		if slot.Group == group && slot.Epoch == epoch {
			names = append(names, slot.Name)
		}
	}
	return names
}

// take assigns a free slot to a group, or adds the group to the queue. Groups that have
// waited longer are served first. It reports whether the document has to be written.
func (d *slotsDocument) take(group string, epoch uint64, now time.Time) bool {
	d.Waiting = slices.DeleteFunc(d.Waiting, func(w slotWaiter) bool { return !now.Before(w.Expiry) })
	position := slices.IndexFunc(d.Waiting, func(w slotWaiter) bool { return w.Group == group })
	free := slices.IndexFunc(d.Slots, func(s floatingSlot) bool { return s.Group == "" })
	if free >= 0 && (position == 0 || position < 0 && len(d.Waiting) == 0) {
		d.Slots[free].Group = group
		d.Slots[free].Epoch = epoch
		if position == 0 {
			d.Waiting = d.Waiting[1:]
		}
		return true
	}
	if position >= 0 {
		renew := d.Waiting[position].Expiry.Sub(now) < waiterTTL/2
		d.Waiting[position].Expiry = now.Add(waiterTTL)
		return renew
	}
	d.Waiting = append(d.Waiting, slotWaiter{
		Group:  group,
		Expiry: now.Add(waiterTTL),
	})
	return true
}

// release returns a slot of a group and reports whether the group had it.
func (d *slotsDocument) release(group, name string) bool {
	for i := range d.Slots {
		if slot := &d.Slots[i]; slot.Group == group && slot.Name == name {
			slot.Group = ""
			slot.Epoch = 0
			return true
		}
	}
	return false
}

// othersWait reports whether another group waits for a slot.
func (d *slotsDocument) othersWait(group string, now time.Time) bool {
	return slices.ContainsFunc(d.Waiting, func(w slotWaiter) bool {
		return w.Group != group && now.Before(w.Expiry)
	})
}
