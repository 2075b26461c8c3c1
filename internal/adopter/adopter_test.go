package adopter_test

import (
	"io"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/adopter"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

func TestOnlyNewerConfigurationsArePutInForce(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := adopter.New(adopter.Config{
		Key: "config",
		Decode: func(entry storer.Entry) (*configurator.Snapshot, error) {
			revision, err := strconv.ParseUint(string(entry.Value), 10, 64)
			if err != nil {
				return nil, err
			}
			return configurator.Empty().WithRevision(revision), nil
		},
		Log: log,
	})
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
