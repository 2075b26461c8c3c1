package configurator

// Kind is the kind of the record that the operation is about.
func (o Operation) Kind() Kind {
	kind, _ := o.record()
	return kind
}

// Name is the name that operators know the record by.
func (o Operation) Name() string {
	_, value := o.record()
	if value == nil {
		return ""
	}
	return nameOf(value)
}

// String describes the operation in one line, without the hash of a key.
func (o Operation) String() string {
	kind, value := o.record()
	if value == nil {
		return string(o.Action)
	}
	return string(o.Action) + " " + string(kind) + " " + nameOf(value) + " " + show(value)
}

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
