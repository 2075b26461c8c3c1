package spreadmeter

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

const (
	// teams, models and keys are the target's size, besides adapters.
	teams  = 50
	models = 330
	keys   = 5000
	// appliedActs and lookups are the numbers of operations over which times are averaged.
	appliedActs = 200
	lookups     = 200_000
	// maxAdapterMB is the size of the largest adapters, in MiB.
	maxAdapterMB = 64
)

// largeChange returns a change that creates a configuration of the target's size,
// with the given number of adapters.
func largeChange(adapters int) configurator.Change {
	change := configurator.Change{
		ID: "large",
	}
	create := func(operation configurator.Operation) {
		operation.Action = configurator.ActionCreate
		change.Operations = append(change.Operations, operation)
	}
	for i := range teams {
		create(configurator.Operation{
			Team: &configurator.Team{
				Name: fmt.Sprintf("team%d", i),
				Rate: 1000,
			},
		})
	}
	for i := range models {
		create(configurator.Operation{
			Model: &configurator.Model{
				Name:     fmt.Sprintf("model%03d", i),
				Replicas: 2,
			},
		})
	}
	for i := range adapters {
		create(configurator.Operation{
			Adapter: &configurator.Adapter{
				Name:  adapterName(i),
				Model: fmt.Sprintf("model%03d", i%models),
				Teams: []string{fmt.Sprintf("team%d", i%teams)},
				Bytes: int64(1+i%maxAdapterMB) << 20,
			},
		})
	}
	for i := range keys {
		create(configurator.Operation{
			Key: &configurator.Key{
				Name: fmt.Sprintf("key%05d", i),
				Team: fmt.Sprintf("team%d", i%teams),
				Hash: hex.EncodeToString(hashOf(i)),
			},
		})
	}
	return change
}

func adapterName(number int) string { return fmt.Sprintf("adapter-%06d", number) }

// hashOf returns the hash of a key's secret.
func hashOf(number int) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "secret%d", number))
	return sum[:]
}

// measureAdapters measures the memory of a snapshot that was assembled from its
// documents, as in an instance after its start, and the times to assemble it, to
// apply a change and to look up keys and adapters.
func measureAdapters(adapters int, out io.Writer) error {
	full, err := configurator.Empty().Apply(largeChange(adapters))
	if err != nil {
		return err
	}
	contents := map[string][]byte{}
	length, largest := 0, 0
	for _, document := range full.Documents() {
		content, err := full.Encode(document.Name)
		if err != nil {
			return err
		}
		contents[document.Name] = content
		length += len(content)
		largest = max(largest, len(content))
	}
	head := full.Head()
	full = nil
	before := heapBytes()
	started := time.Now()
	snapshot, err := configurator.Empty().Assemble(head, contents)
	if err != nil {
		return err
	}
	assembled := time.Since(started)
	memory := heapBytes() - before
	applied, allocated, err := timeApply(snapshot, adapters)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out,
		"measure=adapters adapters=%d keys=%d memory=%d documents=%d largest=%d assemble=%s apply=%s allocated=%d key=%s adapter=%s\n",
		adapters, keys, memory, length, largest, assembled.Round(time.Millisecond),
		applied.Round(time.Microsecond), allocated, timeKeyLookups(snapshot), timeAdapterLookups(snapshot, adapters))
	runtime.KeepAlive(contents)
	runtime.KeepAlive(snapshot)
	return err
}

// timeApply returns the mean time and the mean allocated bytes of a change of one adapter.
func timeApply(snapshot *configurator.Snapshot, adapters int) (time.Duration, uint64, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	for i := range appliedActs {
		number := i * max(1, adapters/appliedActs) % adapters
		next, err := snapshot.Apply(configurator.Change{
			ID: fmt.Sprint("apply", i),
			Operations: []configurator.Operation{{
				Action: configurator.ActionPut,
				Adapter: &configurator.Adapter{
					Name:  adapterName(number),
					Model: "model000",
					Bytes: int64(i),
				},
			}},
		})
		if err != nil {
			return 0, 0, err
		}
		snapshot = next
	}
	used := time.Since(started)
	runtime.ReadMemStats(&after)
	return used / appliedActs, (after.TotalAlloc - before.TotalAlloc) / appliedActs, nil
}

// timeKeyLookups returns the mean time of a lookup of a key and its withdrawal.
func timeKeyLookups(snapshot *configurator.Snapshot) time.Duration {
	hash := [configurator.HashBytes]byte(hashOf(keys / 2))
	started := time.Now()
	for range lookups {
		key, _ := snapshot.KeyByHash(hash)
		_ = snapshot.KeyWithdrawn(key)
	}
	return time.Since(started) / lookups
}

// timeAdapterLookups returns the mean time of a lookup of an adapter and its withdrawal.
func timeAdapterLookups(snapshot *configurator.Snapshot, adapters int) time.Duration {
	name := adapterName(adapters / 2)
	started := time.Now()
	for range lookups {
		adapter, _ := snapshot.Adapter(name)
		_ = snapshot.AdapterWithdrawn(adapter)
	}
	return time.Since(started) / lookups
}

// heapBytes returns the heap memory in use after a garbage collection, in bytes.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
