package adopter_test

import (
	"context"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/adopter"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// newAdopter returns an adopter of documents that are revisions.
func newAdopter(call messenger.Caller) *adopter.Adopter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return adopter.New(adopter.Config{
		Key: "config",
		Decode: func(entry storer.Entry) (*configurator.Snapshot, error) {
			revision, err := strconv.ParseUint(string(entry.Value), 10, 64)
			if err != nil {
				return nil, err
			}
			return configurator.Empty().WithRevision(revision), nil
		},
		Call: call,
		Log:  log,
	})
}

// stored returns an update with a document.
func stored(value string) follower.Update {
	return follower.Update{
		Entries: []storer.Entry{
			{
				Key:   "config",
				Value: []byte(value),
			},
		},
	}
}

func TestOnlyNewerConfigurationsArePutInForce(t *testing.T) {
	is := is.New(t)
	a := newAdopter(nil)
	var revisions []uint64
	a.Subscribe(func(snapshot *configurator.Snapshot) { revisions = append(revisions, snapshot.Revision()) })
	is.True(!a.Ready())
	for _, value := range []string{"x", "3", "9", "4", "x", "9"} {
		a.Apply(follower.Update{
			Entries: []storer.Entry{
				{
					Key:   "config",
					Value: []byte(value),
				},
				{
					Key:   "configuration",
					Value: []byte("99"),
				},
			},
		})
	}
	is.True(a.Ready())
	is.Equal(revisions, []uint64{3, 9})
	is.Equal(a.Current().Revision(), uint64(9))
}

// TestRestartedInstanceTakesTheConfigurationOfPeers guards against an older configuration on an instance that starts while
// the store has been restored from a copy, and the operator has not written the newer one again.
func TestRestartedInstanceTakesTheConfigurationOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		running := newAdopter(nil)
		running.Apply(stored("9"))
		calls := 0
		restarted := newAdopter(func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
			calls++
			return running.Handlers()[topic](ctx, messenger.Sender{}, payload)
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go restarted.Run(ctx)
		restarted.Apply(stored("4"))
		restarted.HandleAttachment(messenger.Peer{}, []byte{0xff})
		restarted.HandleAttachment(messenger.Peer{}, running.Attachment())
		time.Sleep(2 * time.Second)
		is.Equal(restarted.Current().Revision(), uint64(9)) // CONFIG
		is.Equal(calls, 1)
		running.HandleAttachment(messenger.Peer{}, restarted.Attachment())

		running.Apply(stored("12"))
		restarted.HandleAttachment(messenger.Peer{}, running.Attachment())
		time.Sleep(500 * time.Millisecond)
		restarted.Apply(stored("12"))
		time.Sleep(2 * time.Second)
		is.Equal(calls, 1) // what the store delivers is not requested
		restarted.Apply(stored("4"))
		is.Equal(restarted.Current().Revision(), uint64(12))
	})
}
