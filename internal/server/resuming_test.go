package server_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/resumer"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// TestStreamGoesOnAtItsService takes up streams of a route with two services, each by an attempt of another identity.
func TestStreamGoesOnAtItsService(t *testing.T) {
	is := is.New(t)
	began, goesOn := "", ""
	config := server.Config{
		Streams: server.Streams{
			Versions: func(service string) []string {
				began = service
				return nil
			},
			Resume: func(_ context.Context, service, _ string) (string, error) {
				goesOn = service
				return "", &resumer.Unknown{}
			},
			ReportBegun: func(string, string) {},
		},
	}
	config.HeaderFormat.Parse = func(header http.Header, now time.Time) (server.Facts, error) {
		return server.Facts{
			Identity:    header.Get("X-Request-Id"),
			Model:       "ledger",
			Deadline:    now.Add(100 * time.Millisecond),
			Resumes:     header.Get("X-Resumes"),
			LastEventID: header.Get("Last-Event-Id"),
		}, nil
	}
	f := newRoutedFixture(t, config, func(http.ResponseWriter, *http.Request) {})
	services := map[string]int{}
	for number := range 40 {
		first := "a" + strconv.Itoa(number)
		f.send(t, http.MethodPost, "/split/", "", "X-Request-Id", first)
		services[began]++
		_, body := f.send(t, http.MethodPost, "/split/", "", "X-Request-Id", "b"+strconv.Itoa(number), "Last-Event-Id", "3", "X-Resumes", first)
		is.True(strings.Contains(body, string(refuser.CodeNoVersion)))
		is.Equal(goesOn, began) // the service at which the stream goes on
	}
	is.Equal(len(services), 2)
}
