package reporter

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/reporter/reporterpb"
)

// Handlers returns the handlers of messages from other instances, by topic.
func (r *Reporter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		TopicReports: r.receive,
	}
}

// receive stores the reports that a peer of this domain sent. The answer names the upstreams
// whose shape this instance lacks.
func (r *Reporter) receive(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	if from.Domain != r.config.Domain {
		return nil, &Foreign{
			Domain: from.Domain,
		}
	}
	var message reporterpb.Push
	if err := proto.Unmarshal(payload, &message); err != nil {
		return nil, err
	}
	answer := &reporterpb.Answer{}
	for _, load := range message.Loads {
		report, ok := r.decode(load)
		if !ok {
			answer.Missing = append(answer.Missing, load.Upstream)
			continue
		}
		r.accept(load.Upstream, report)
	}
	return proto.Marshal(answer)
}
