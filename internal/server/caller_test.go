package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/server"
)

func TestCallerDisconnectCancelsItsRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		engine: runner.Config{
			TokenInterval: time.Millisecond,
		},
	})
	answer := f.send("POST", "/v1/completions", endlessStream)
	_, err := bufio.NewReader(answer.Body).ReadString('\n')
	is.NoErr(err)
	answer.Body.Close()
	waitEnd(f)
	is.Equal(f.engines[0].Requests()[0].End, runner.EndCancelled)
}

func TestCallerThatStopsReadingCancelsItsRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		server: server.Config{
			ReadTimeout: 100 * time.Millisecond,
		},
	})
	conn, err := net.Dial("tcp", f.address.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+secret+
		"\r\nContent-Length: "+strconv.Itoa(len(endlessStream))+"\r\n\r\n"+endlessStream)
	is.NoErr(err)
	waitEnd(f)
	is.Equal(f.engines[0].Requests()[0].End, runner.EndCancelled)
}

func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		server: server.Config{
			MaxConnections: 1,
		},
	})
	first, err := net.Dial("tcp", f.address.Listener.Addr().String())
	is.NoErr(err)
	const request = "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + secret + "\r\n\r\n"
	_, err = io.WriteString(first, request)
	is.NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(first), nil)
	is.NoErr(err)
	second, err := net.Dial("tcp", f.address.Listener.Addr().String())
	is.NoErr(err)
	defer second.Close()
	_, err = io.WriteString(second, request)
	is.NoErr(err)
	is.NoErr(second.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // not served while the first connection is open
	first.Close()
	is.NoErr(second.SetReadDeadline(time.Time{}))
	answer, err := http.ReadResponse(bufio.NewReader(second), nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
}
