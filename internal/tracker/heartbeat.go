package tracker

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker/trackerpb"
)

const (
	topicHeartbeat = "heartbeat"

	// maxUpdates is the number of member changes that one heartbeat carries.
	maxUpdates = 12
)

// heartbeatCall sends one heartbeat to a member and processes the answer.
type heartbeatCall struct {
	tracker *Tracker
	roster  *roster
	member  Member
	// finished receives a value once the call has ended; may be nil.
	finished chan<- struct{}
}

func (c *heartbeatCall) run(ctx context.Context) {
	defer c.finish()
	t := c.tracker
	ctx, cancel := context.WithTimeout(ctx, max(t.config.Interval, t.config.SuspectTimeout/2))
	defer cancel()
	payload, err := proto.Marshal(t.heartbeat(c.member.Peer.Name))
	if err != nil {
		return
	}
	answer, err := t.config.Call(ctx, c.member.Peer, topicHeartbeat, payload)
	if err != nil {
		return
	}
	message := &trackerpb.Heartbeat{}
	if err := proto.Unmarshal(answer, message); err != nil {
		return
	}
	t.receive(c.member.Peer.Name, c.member.Domain, message)
}

// finish allows the next heartbeat to the member and reports the end of the call.
func (c *heartbeatCall) finish() {
	c.roster.endCall(c.member.Peer.Name)
	if c.finished != nil {
		c.finished <- struct{}{}
	}
}

// heartbeat builds a heartbeat for the named peer: this instance's own record, the digest of its
// view, recent changes of members, the attachment, and the digest and age of its copy of the list.
func (t *Tracker) heartbeat(to string) *trackerpb.Heartbeat {
	self := encode(t.Self())
	self.Name, self.Domain = "", ""
	message := &trackerpb.Heartbeat{
		Sender: self,
		Digest: t.digest(),
	}
	for _, r := range t.allRosters() {
		message.Updates = append(message.Updates, encodeAll(r.takeChanges(to, maxUpdates-len(message.Updates)))...)
	}
	t.attach(message)
	message.Rows, message.Age = t.list.digestAndAge(t.config.Now())
	return message
}

// digest is a hash of all present members, this instance included. Equal digests mean equal views.
func (t *Tracker) digest() uint64 {
	self := record{
		member: t.Self(),
	}
	sum := self.digest()
	for _, r := range t.allRosters() {
		sum ^= r.digest()
	}
	return sum
}

// handleHeartbeat processes a heartbeat and answers with one.
func (t *Tracker) handleHeartbeat(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	message := &trackerpb.Heartbeat{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, malformed(topicHeartbeat, err)
	}
	if message.GetSender().GetIncarnation() != from.Incarnation {
		return nil, malformed(topicHeartbeat, nil)
	}
	t.receive(from.Name, from.Domain, message)
	return proto.Marshal(t.heartbeat(from.Name))
}

// malformed returns the refusal of a message that cannot be decoded.
func malformed(topic string, cause error) error {
	return &messenger.Refused{
		Code: messenger.CodeMalformed,
		Detail: (&Malformed{
			Topic: topic,
			Cause: cause,
		}).Error(),
	}
}

// receive processes a heartbeat or the answer to one.
func (t *Tracker) receive(name, domain string, message *trackerpb.Heartbeat) {
	update := message.GetSender()
	if update == nil {
		return
	}
	update.Name, update.Domain = name, domain
	member, ok := decode(update)
	if !ok {
		return
	}
	t.mergeSender(member)
	for _, update := range message.GetUpdates() {
		t.mergeReported(update)
	}
	now := t.config.Now()
	t.compareViews(member.Peer, message.GetDigest(), now)
	t.list.handleAnnouncement(t, member.Peer, message.GetRows(), message.GetAge(), now)
	t.handleAttachments(member.Peer, message)
}

// mergeSender applies how a member describes itself, and records that it was heard from.
func (t *Tracker) mergeSender(member Member) {
	if member.Peer.Name == t.config.Self.Name {
		return
	}
	now := t.config.Now()
	r := t.roster(member.Domain)
	if r.apply(member, now) {
		t.logChange(member)
	}
	r.recordMessage(member.Peer.Name, now)
}

// mergeReported applies what a member reports about another one, or about this instance.
func (t *Tracker) mergeReported(update *trackerpb.Update) {
	member, ok := decode(update)
	if !ok || member.Peer.Name == "" || member.Domain == "" {
		return
	}
	if member.Peer.Name == t.config.Self.Name {
		t.refute(member)
		return
	}
	if t.roster(member.Domain).apply(member, t.config.Now()) {
		t.logChange(member)
	}
}

func (t *Tracker) logChange(member Member) {
	t.config.Log.WithFields(logrus.Fields{
		"member":      member.Peer.Name,
		"domain":      member.Domain,
		"incarnation": member.Incarnation,
		"state":       member.State,
	}).Info("member.changed")
}

// refute raises this instance's counter above that of a report that it is not alive, so that its
// own description supersedes the report.
func (t *Tracker) refute(report Member) {
	t.selfLock.Lock()
	defer t.selfLock.Unlock()
	if report.Incarnation > t.self.Incarnation {
		t.config.Log.WithField("incarnation", report.Incarnation).Error("member.superseded")
		return
	}
	if report.Incarnation < t.self.Incarnation || report.State == Alive || report.State == t.self.State {
		return
	}
	if report.Counter >= t.self.Counter {
		t.self.Counter = report.Counter + 1
	}
}

// compareViews compares a peer's digest with that of this instance, and exchanges complete views
// with the peer if no peer's digest has been equal for mismatchIntervals.
func (t *Tracker) compareViews(peer messenger.Peer, digest uint64, now time.Time) {
	equal := digest == t.digest()
	t.selfLock.Lock()
	defer t.selfLock.Unlock()
	if equal {
		t.mismatchedSince = time.Time{}
		return
	}
	if t.mismatchedSince.IsZero() {
		t.mismatchedSince = now
	}
	limit := time.Duration(mismatchIntervals) * t.config.Interval
	if now.Sub(t.mismatchedSince) < limit || now.Sub(t.lastExchange) < limit {
		return
	}
	t.lastExchange = now
	e := &viewExchange{
		tracker: t,
		peer:    peer,
	}
	go e.run(t.done)
}
