package tracker

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker/trackerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// listFetch copies the list from a peer.
type listFetch struct {
	tracker *Tracker
	peer    messenger.Peer
}

func (f *listFetch) run(ctx context.Context) {
	t := f.tracker
	defer t.list.endFetch()
	ctx, cancel := context.WithTimeout(ctx, t.config.SuspectTimeout)
	defer cancel()
	answer, err := t.config.Call(ctx, f.peer, topicRows, nil)
	if err != nil {
		return
	}
	message := &trackerpb.Rows{}
	if err := proto.Unmarshal(answer, message); err != nil {
		return
	}
	var list []storer.Instance
	if err := json.Unmarshal(message.GetList(), &list); err != nil {
		return
	}
	now := t.config.Now()
	t.applyList(list, now.Add(-time.Duration(message.GetAge())*time.Millisecond))
}
