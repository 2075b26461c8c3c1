package configurator_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// route returns an operation for a route, by default to the service "desk".
func route(name, host, prefix string, targets ...configurator.Target) configurator.Operation {
	if len(targets) == 0 {
		targets = []configurator.Target{
			{
				Service: "desk",
				Weight:  1,
			},
		}
	}
	return configurator.Operation{
		Route: &configurator.Route{
			Name:    name,
			Host:    host,
			Prefix:  prefix,
			Targets: targets,
		},
	}
}

// snapshotWithRoutes returns a snapshot with two services and the given routes.
func snapshotWithRoutes(t *testing.T, routes ...configurator.Operation) *configurator.Snapshot {
	t.Helper()
	return apply(t, configurator.Empty(), change("services", service("desk", ""), service("other", "")), change("routes", routes...))
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	snapshot := snapshotWithRoutes(
		t, route("short", "a.example", "/x/"), route("long", "A.example", "/x/y/"), route("any", "", "/"),
	)
	for _, test := range []struct {
		host, path, want string
	}{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/w", "any"},
		{"b.example", "/x/y/z", "any"},
	} {
		match, ok := snapshot.RouteFor(test.host, test.path)
		is.True(ok)
		is.Equal(match.Name, test.want)
	}
	_, ok := snapshotWithRoutes(t, route("r", "a.example", "/x/")).RouteFor("a.example", "/x")
	is.True(!ok) // the prefix ends with a slash
}

func TestRouteHostAndPrefixAreUnique(t *testing.T) {
	is := is.New(t)
	snapshot := snapshotWithRoutes(t, route("r", "a.example", "/x/"))
	var invalid *configurator.Invalid
	_, err := snapshot.Apply(change("again", route("s", "a.example", "/x/")))
	is.True(errors.As(err, &invalid))
	moved := route("r", "a.example", "/y/")
	moved.Action = configurator.ActionPut
	snapshot = apply(t, snapshot, change("move", moved, route("s", "a.example", "/x/")))
	match, ok := snapshot.RouteFor("a.example", "/x/1")
	is.True(ok)
	is.Equal(match.Name, "s")
}

func TestRoutesNeedTheirServices(t *testing.T) {
	is := is.New(t)
	var missing *configurator.NotFound
	_, err := configurator.Empty().Apply(change("r", route("r", "", "/x/")))
	is.True(errors.As(err, &missing))
	snapshot := snapshotWithRoutes(t, route("r", "", "/x/"))
	removal := service("desk", "")
	removal.Action = configurator.ActionRemove
	var used *configurator.InUse
	_, err = snapshot.Apply(change("remove", removal))
	is.True(errors.As(err, &used))
	var invalid *configurator.Invalid
	_, err = snapshot.Apply(change("weightless", route("s", "", "/y/", configurator.Target{
		Service: "desk",
	})))
	is.True(errors.As(err, &invalid))
	_, err = snapshot.Apply(change("slash", route("s", "", "/y")))
	is.True(errors.As(err, &invalid))
}

func TestServiceWithoutPathIsReachedByRoutesOnly(t *testing.T) {
	is := is.New(t)
	_, ok := snapshotWithRoutes(t, route("r", "", "/x/")).ServiceByPath("/y")
	is.True(!ok)
}

func TestArchiveRestoresRoutes(t *testing.T) {
	is := is.New(t)
	snapshot := snapshotWithRoutes(t, route("r", "a.example", "/x/"))
	copied, err := snapshot.Archive().Snapshot()
	is.NoErr(err)
	match, ok := copied.RouteFor("a.example", "/x/1")
	is.True(ok)
	is.Equal(match.Name, "r")
	is.Equal(copied.WithRevision(7).Revision(), uint64(7))
}

func TestTargetsAreDrawnByWeight(t *testing.T) {
	is := is.New(t)
	split := configurator.Route{
		Targets: []configurator.Target{
			{
				Service: "desk",
				Weight:  9,
			},
			{
				Service: "other",
				Weight:  1,
			},
		},
	}
	counts := map[string]int{}
	for draw := range uint64(100) {
		counts[split.Target(draw)]++
	}
	is.Equal(counts, map[string]int{
		"desk":  90,
		"other": 10,
	})
	is.Equal((&configurator.Route{}).Target(3), "")
}
