package spreader

import (
	"context"
	"maps"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// pull is a queued read from a peer whose summary differs.
type pull struct {
	peer    messenger.Peer
	summary *spreaderpb.Summary
}

// Digest returns the encoded summary of the configuration in force. It is sent with the
// heartbeats.
func (s *Spreader) Digest() []byte {
	encoded, err := proto.Marshal(s.currentSummary())
	if err != nil {
		return nil
	}
	return encoded
}

// Compare compares the digest of a peer with the configuration in force, and queues a pull if the
// peer has a newer configuration or other withdrawals. If the queue is full, the pull is dropped.
func (s *Spreader) Compare(from messenger.Peer, digest []byte) {
	var summary spreaderpb.Summary
	if err := proto.Unmarshal(digest, &summary); err != nil {
		metrics.GetOrCreateCounter(`buckthorngap_config_malformed_total`).Inc()
		return
	}
	s.recordPeerRevision(from.Name, summary.GetRevision())
	ahead, differing := s.compareSummary(&summary)
	if !ahead && !differing {
		return
	}
	select {
	case s.pulls <- pull{peer: from, summary: &summary}:
	default:
	}
}

// recordPeerRevision records the revision that a peer reported. At maxPeerRevisions, all records are
// dropped.
func (s *Spreader) recordPeerRevision(name string, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.peerRevisions) >= maxPeerRevisions {
		clear(s.peerRevisions)
	}
	s.peerRevisions[name] = revision
}

// PeerRevisions returns the revisions that peers last reported, by name.
func (s *Spreader) PeerRevisions() map[string]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.peerRevisions)
}

// compareSummary reports whether a peer is ahead, that is, has a newer configuration, and whether
// its withdrawals differ from those of this instance.
func (s *Spreader) compareSummary(theirs *spreaderpb.Summary) (ahead, differing bool) {
	own := s.currentSummary()
	ahead = theirs.GetRevision() > own.GetRevision()
	if theirs.GetRevision() == own.GetRevision() {
		ahead = string(theirs.GetDigest()) > string(own.GetDigest())
	}
	return ahead, string(theirs.GetWithdrawals()) != string(own.GetWithdrawals())
}

// puller reads configurations and withdrawals from peers that have newer ones.
type puller struct {
	spreader *Spreader
}

func (p *puller) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.spreader.pulls:
			p.pull(ctx, next)
		}
	}
}

// pull reads the withdrawals and the configuration of the peer, as far as they still differ.
func (p *puller) pull(ctx context.Context, next pull) {
	bounded, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	ahead, differing := p.spreader.compareSummary(next.summary)
	var err error
	if differing {
		err = p.spreader.pullWithdrawals(bounded, next.peer)
	}
	if ahead && err == nil {
		err = p.spreader.pullHead(bounded, next.peer)
	}
	if err != nil {
		p.spreader.config.Log.WithFields(logrus.Fields{
			"peer":  next.peer.Name,
			"error": err,
		}).Debug("pull")
	}
}

// pullHead installs the configuration of a peer if it is newer.
func (s *Spreader) pullHead(ctx context.Context, peer messenger.Peer) error {
	metrics.GetOrCreateCounter(`buckthorngap_config_pulls_total`).Inc()
	var answer spreaderpb.HeadAnswer
	if err := s.send(ctx, peer, topicHead, &spreaderpb.HeadRequest{}, &answer); err != nil {
		return err
	}
	head, err := configurator.DecodeHead(answer.GetHead())
	if err != nil {
		return err
	}
	current := s.Current()
	if head.Revision < current.Revision() {
		return nil
	}
	next, ok := applyActs(current, head)
	if !ok {
		contents, err := s.pullDocuments(ctx, peer, head.Revision, current.Differing(head))
		if err != nil {
			return err
		}
		next, err = current.Assemble(head, contents)
		if err != nil {
			return err
		}
	}
	s.install(next, peer.Name)
	return nil
}

// pullDocuments reads documents of a revision from a peer, in as many pages as it takes.
func (s *Spreader) pullDocuments(
	ctx context.Context, peer messenger.Peer, revision uint64, required []configurator.StoredDocument,
) (map[string][]byte, error) {
	var names []string
	for _, document := range required {
		if document.Digest != (configurator.Digest{}) {
			names = append(names, document.Name)
		}
	}
	contents := map[string][]byte{}
	for len(names) > 0 {
		var answer spreaderpb.DocumentsAnswer
		err := s.send(ctx, peer, topicDocuments, &spreaderpb.DocumentsRequest{
			Revision: revision,
			Names:    names,
		}, &answer)
		if err != nil {
			return nil, err
		}
		received := answer.GetDocuments()
		if len(received) == 0 || len(received) > len(names) {
			return nil, &badMessage{
				reason: topicDocuments,
			}
		}
		for _, document := range received {
			contents[document.GetName()] = document.GetContent()
		}
		names = names[len(received):]
	}
	return contents, nil
}
