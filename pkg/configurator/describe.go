package configurator

// Kind returns the kind of the operation's record, or "" if none is set.
func (o Operation) Kind() Kind {
	kind, _ := o.record()
	return kind
}

// Name returns the name of the operation's record as shown to operators.
func (o Operation) Name() string {
	_, value := o.record()
	if value == nil {
		return ""
	}
	return nameOf(value)
}

// String describes the operation in one line and omits the hash of a key.
func (o Operation) String() string {
	kind, value := o.record()
	if value == nil {
		return string(o.Action)
	}
	return string(o.Action) + " " + string(kind) + " " + nameOf(value) + " " + encodeRecord(value)
}

// record returns the record that is set in the operation and its kind.
func (o Operation) record() (Kind, record) {
	switch {
	case o.Team != nil:
		return KindTeam, *o.Team
	case o.Key != nil:
		return KindKey, *o.Key
	case o.Model != nil:
		return KindModel, *o.Model
	case o.Version != nil:
		return KindVersion, *o.Version
	case o.Adapter != nil:
		return KindAdapter, *o.Adapter
	case o.Batch != nil:
		return KindBatch, *o.Batch
	case o.Service != nil:
		return KindService, *o.Service
	case o.Upstream != nil:
		return KindUpstream, *o.Upstream
	case o.Route != nil:
		return KindRoute, *o.Route
	}
	return "", nil
}
