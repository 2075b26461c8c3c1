package server_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/server"
)

func TestForeignRequestsReachNoEngine(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{})
	is.Equal(countForeignRequests(t, f), 0)
}

// TestForeignRequestsReachEnginesWithoutTheTeamCheck shows that the test above detects foreign requests.
func TestForeignRequestsReachEnginesWithoutTheTeamCheck(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		server: server.Config{
			Allows: func([]string, string) bool { return true },
		},
	})
	is.True(countForeignRequests(t, f) > 0)
}

// countForeignRequests requests a model of one team and its adapter with the keys of both teams, with a wrong key and
// with none, and returns how many requests the engine ran beyond the team's own.
func countForeignRequests(t *testing.T, f *fixture) int {
	own := 0
	for _, key := range []string{secret, otherTeam, "sk-wrong", ""} {
		for _, model := range []string{"ledger", "nairobi"} {
			answer := f.send("POST", "/v1/completions",
				strings.Replace(`{"model":"M","prompt":"x","max_tokens":1}`, "M", model, 1),
				"Authorization", "Bearer "+key)
			if key == secret && answer.StatusCode == 200 {
				own++
			}
			readAll(t, answer)
		}
	}
	is.New(t).Equal(own, 2)
	return len(f.engines[0].Requests()) - own
}
