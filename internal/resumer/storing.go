package resumer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/resumer/resumerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// encodeStreams encodes streams for a heartbeat or an entry.
func encodeStreams(streams []recentStream) ([]byte, error) {
	message := &resumerpb.Streams{}
	indices := map[string]uint32{}
	for _, s := range streams {
		index, known := indices[s.version]
		if !known {
			index = uint32(len(indices))
			indices[s.version] = index
			message.Versions = append(message.Versions, s.version)
		}
		message.Streams = append(message.Streams, &resumerpb.Stream{
			Stream:  s.stream,
			Version: index,
		})
	}
	return proto.Marshal(message)
}

// decodeStreams decodes at most a number of streams. It returns *Malformed.
func decodeStreams(data []byte, most int) ([]recentStream, error) {
	message := &resumerpb.Streams{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, &Malformed{
			What:  "list of streams",
			Cause: err,
		}
	}
	var streams []recentStream
	for _, stream := range message.GetStreams()[:min(len(message.GetStreams()), most)] {
		if index := int(stream.GetVersion()); index < len(message.GetVersions()) {
			streams = append(streams, recentStream{
				stream:  stream.GetStream(),
				version: message.GetVersions()[index],
			})
		}
	}
	return streams, nil
}

// applyStored records the streams of an entry of the store, unless it is known. The mutex is held.
func (r *Resumer) applyStored(entry storer.Entry, known bool, now time.Time) {
	if known {
		r.archive.record(entry.Key, entry.Revision, nil)
		return
	}
	streams, err := decodeStreams(entry.Value, maxStored)
	if err != nil {
		r.config.Log.WithField("entry", entry.Key).WithError(err).Warn("stream.unreadable")
	}
	for _, s := range streams {
		if _, known := r.records.version(s.stream); !known {
			r.records.add(s.stream, s.version, now)
		}
	}
	r.archive.record(entry.Key, entry.Revision, streams)
}

// storeStreams stores the streams of services that list several versions. Any instance can go on with such a stream after
// all that knew it have been killed.
func (r *Resumer) storeStreams(ctx context.Context, now time.Time) {
	peers := r.config.Peers()
	first := true
	for _, peer := range peers {
		first = first && hashStream(r.config.Self) < hashStream(peer.Name)
	}
	r.mu.Lock()
	var versions []string
	for _, s := range r.services {
		if len(s.list.Versions) > 1 {
			versions = append(versions, s.list.Versions...)
		}
	}
	streams := r.archive.due(now, versions, first, 1+len(peers))
	key := r.archive.key(r.config.Self)
	revision := r.archive.revisions[key]
	r.mu.Unlock()
	if len(streams) == 0 {
		return
	}
	value, err := encodeStreams(streams)
	if err != nil {
		r.config.Log.WithError(err).Warn("stream.unencoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := r.config.Store.Swap(ctx, storer.Swap{
		Key:      key,
		Value:    value,
		Expected: revision,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	log := r.config.Log.WithField("entry", key).WithField("streams", len(streams))
	if err != nil {
		r.archive.retryAt = now.Add(failureDelay)
		if conflict := (*storer.Conflict)(nil); errors.As(err, &conflict) {
			r.archive.record(key, conflict.Current, nil)
		}
		log.WithError(err).Info("stream.unstored")
		return
	}
	r.archive.record(key, entry.Revision, streams)
	r.metrics.stored.Add(len(streams))
	log.Info("stream.stored")
}
