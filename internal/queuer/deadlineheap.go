package queuer

import "container/heap"

// deadlineHeap is a min-heap of waiters by deadline, then by time of entry.
type deadlineHeap []*waiter

// Len implements heap.Interface.
func (d deadlineHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlineHeap) Less(i, j int) bool {
	if d[i].ticket.Deadline.Equal(d[j].ticket.Deadline) {
		return d[i].entered.Before(d[j].entered)
	}
	return d[i].ticket.Deadline.Before(d[j].ticket.Deadline)
}

// Swap implements heap.Interface.
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index = i
	d[j].index = j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*d)
	w.heap = d
	*d = append(*d, w)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	last.heap = nil
	return last
}

// remove removes a waiter from its heap.
func (w *waiter) remove() {
	heap.Remove(w.heap, w.index)
}
