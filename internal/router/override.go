package router

import "time"

// overrideTTL is how long an override takes precedence over the upstream's own reports, which lag by a
// second or two.
const overrideTTL = 3 * time.Second

// overrideKey identifies the checkpoint or adapter that an override is about.
type overrideKey struct {
	checkpoint string
	adapter    string
}

// override states whether a checkpoint or adapter is loaded, whatever the upstream's reports say
// until it expires.
type override struct {
	expiry time.Time
	loaded bool
}

// addOverride records that the upstream has loaded or unloaded a checkpoint or adapter, and applies
// this to its snapshot.
func (u *upstream) addOverride(now time.Time, checkpoint, adapter string, loaded bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.overrides == nil {
		u.overrides = map[overrideKey]override{}
	}
	u.overrides[overrideKey{
		checkpoint: checkpoint,
		adapter:    adapter,
	}] = override{
		expiry: now.Add(overrideTTL),
		loaded: loaded,
	}
	u.snapshot.Store(u.snapshot.Load().withOverrides(u.overrides, now))
}
