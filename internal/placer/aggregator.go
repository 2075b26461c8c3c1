package placer

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// aggregatorShards is the number of shards, each with its own lock.
	aggregatorShards = 16
	// negligible is the decayed value below which an entry is dropped, in requests for
	// demand and in seconds for the load costs of teams.
	negligible = 0.002
)

// aggregator sums the demand that arrives at one instance, by key.
type aggregator struct {
	seed   maphash.Seed
	shards [aggregatorShards]aggregatorShard
}

// aggregatorShard holds the rows whose keys hash to it.
type aggregatorShard struct {
	mutex sync.Mutex
	rows  map[Key]*aggregatorRow
}

// aggregatorRow is the summed demand for one key, and whether it has changed since it was
// last sent to the holder.
type aggregatorRow struct {
	want   Want
	unsent bool
}

func newAggregator() *aggregator {
	a := &aggregator{
		seed: maphash.MakeSeed(),
	}
	for i := range a.shards {
		a.shards[i].rows = map[Key]*aggregatorRow{}
	}
	return a
}

// add counts a demand and reports whether it is the first one waiting for its key.
func (a *aggregator) add(demand Demand, now time.Time) bool {
	key := Key{
		Model:   demand.Model,
		Version: demand.Version,
		Adapter: demand.Adapter,
	}
	shard := &a.shards[maphash.Comparable(a.seed, key)%aggregatorShards]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	row, ok := shard.rows[key]
	if !ok {
		row = &aggregatorRow{
			want: Want{
				Key: key,
			},
		}
		shard.rows[key] = row
	}
	first := row.want.Waiting == 0
	row.want.addDemand(demand, now)
	row.unsent = true
	return first
}

// take returns the rows to send to the holder: all rows if full is set, otherwise those
// that have changed and, if resend is set, those with waiting requests. It drops rows
// without recent requests. Waiting requests are no longer counted once a newer report shows
// a ready copy for them or their deadline has passed.
func (a *aggregator) take(now time.Time, full, resend bool, ready func(Key) time.Time) []Want {
	var wants []Want
	for i := range a.shards {
		shard := &a.shards[i]
		shard.mutex.Lock()
		for key, row := range shard.rows {
			if row.want.Waiting > 0 && row.want.dropServed(now, ready(key)) {
				row.unsent = true
			}
			if row.unsent || full || resend && row.want.Waiting > 0 {
				wants = append(wants, row.want)
				row.unsent = false
			}
			if row.want.Waiting == 0 && row.want.recentAt(now) < negligible {
				delete(shard.rows, key)
			}
		}
		shard.mutex.Unlock()
	}
	return wants
}

// markUnsent marks rows to be sent again after their message was lost.
func (a *aggregator) markUnsent(wants []Want) {
	for _, want := range wants {
		shard := &a.shards[maphash.Comparable(a.seed, want.Key)%aggregatorShards]
		shard.mutex.Lock()
		if row, ok := shard.rows[want.Key]; ok {
			row.unsent = true
		}
		shard.mutex.Unlock()
	}
}

// dropServed removes the waiting requests that arrived before a report that shows a ready
// copy, or all of them once the last deadline has passed, and reports whether it removed
// any. Requests that arrived after the report still wait, because the copy may have been
// lost since.
func (w *Want) dropServed(now, ready time.Time) bool {
	if !now.Before(w.Latest) || ready.After(w.Used.Add(clockSkew)) {
		w.clearWaiting()
		return true
	}
	if w.Waiting > 1 && ready.After(w.Since.Add(clockSkew)) {
		w.Waiting = 1
		w.Since = w.Used
		return true
	}
	return false
}
