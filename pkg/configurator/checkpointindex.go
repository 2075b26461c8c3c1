package configurator

import "sync"

// checkpointIndex maps checkpoints to versions. It is built at the first lookup,
// since most instances never need it.
type checkpointIndex struct {
	versions     *table[Version]
	once         sync.Once
	byCheckpoint map[string]Version
}

// newCheckpointIndex returns an index over versions that is not built yet.
func newCheckpointIndex(versions *table[Version]) *checkpointIndex {
	return &checkpointIndex{
		versions: versions,
	}
}

// get returns the version with the checkpoint. If several have it, the last one in
// the order of shards and identities is returned.
func (c *checkpointIndex) get(checkpoint string) (Version, bool) {
	c.once.Do(c.build)
	version, ok := c.byCheckpoint[checkpoint]
	return version, ok
}

// build reads all versions into the index.
func (c *checkpointIndex) build() {
	c.byCheckpoint = make(map[string]Version, c.versions.count())
	for version := range c.versions.all() {
		c.byCheckpoint[version.Checkpoint] = version
	}
}
