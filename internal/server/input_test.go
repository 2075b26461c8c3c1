package server_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

func TestBadInputIsRefused(t *testing.T) {
	f := newFixture(t, fixtureConfig{
		services: 1,
		server: server.Config{
			MaxBodyBytes:   1000,
			MaxHeaderBytes: 2000,
		},
	})
	const good = `{"model":"ledger","prompt":"x"}`
	for name, c := range map[string]struct {
		path, body string
		header     []string
		status     int
		code       refuser.Code
	}{
		"no JSON": {
			path:   "/v1/completions",
			body:   `{`,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"no model": {
			path:   "/v1/completions",
			body:   `{"prompt":"x"}`,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"no prompt": {
			path:   "/v1/completions",
			body:   `{"model":"ledger"}`,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"token list": {
			path:   "/v1/completions",
			body:   `{"model":"ledger","prompt":[1,2]}`,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"huge answer": {
			path:   "/v1/completions",
			body:   `{"model":"ledger","prompt":"x","max_tokens":9999999}`,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"other spelling": {
			path:   "/v1/completions",
			body:   `{"model":"ledger","Model":"y","prompt":"x"}`,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"unknown model": {
			path:   "/v1/completions",
			body:   `{"model":"none","prompt":"x"}`,
			status: 404,
			code:   refuser.CodeNoModel,
		},
		"large body": {
			path:   "/v1/completions",
			body:   strings.Repeat("x", 1001),
			status: 413,
			code:   refuser.CodeTooLarge,
		},
		"many headers": {
			path:   "/v1/completions",
			body:   good,
			header: []string{"X-Flood", strings.Repeat("y", 2000)},
			status: 413,
			code:   refuser.CodeTooLarge,
		},
		"bad priority": {
			path:   "/v1/completions",
			body:   good,
			header: []string{"X-Priority", "urgent"},
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"bad timeout": {
			path:   "/v1/completions",
			body:   good,
			header: []string{"X-Timeout", "-1s"},
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"past deadline": {
			path:   "/v1/completions",
			body:   good,
			header: []string{"X-Deadline", "2001-01-01T00:00:00Z"},
			status: 504,
			code:   refuser.CodeDeadline,
		},
		"no key": {
			path:   "/v1/completions",
			body:   good,
			header: []string{"Authorization", ""},
			status: 401,
			code:   refuser.CodeNoKey,
		},
		"unknown key": {
			path:   "/v1/completions",
			body:   good,
			header: []string{"Authorization", "Bearer sk-x"},
			status: 401,
			code:   refuser.CodeBadKey,
		},
		"other team": {
			path:   "/v1/completions",
			body:   good,
			header: []string{"Authorization", "Bearer " + otherTeam},
			status: 403,
			code:   refuser.CodeForbidden,
		},
		"unknown path": {
			path:   "/none",
			body:   good,
			status: 404,
			code:   refuser.CodeNoRoute,
		},
		"dot segments in path": {
			path:   "/crates/%2e%2e/x",
			body:   good,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"key in the body": {
			path:   "/v1/completions",
			body:   `{"model":"ledger","prompt":"` + secret + `"}`,
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"key in the path": {
			path:   "/crates/" + secret,
			body:   "",
			status: 400,
			code:   refuser.CodeBadRequest,
		},
		"long idempotency": {
			path:   "/crates/x",
			body:   "",
			header: []string{"Idempotency-Key", strings.Repeat("k", 300)},
			status: 400,
			code:   refuser.CodeBadRequest,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := f.send("POST", c.path, c.body, c.header...)
			is.Equal(answer.StatusCode, c.status)
			refusal := f.decodeRefusal(answer)
			is.Equal(refusal.Error.Code, c.code)
			is.Equal(refusal.Error.Outcome, refuser.NotRun)
			is.Equal(refusal.Error.Request, answer.Header.Get("X-Request-Id"))
		})
	}
	is.New(t).Equal(len(f.engines[0].Requests())+len(f.services[0].Calls()), 0)
}

func TestSlowSenderIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		key, detail string
	}{
		"with key": {
			key:    secret,
			detail: "not sent in time",
		},
		"without key": {
			key:    "sk-x",
			detail: "not known",
		},
	} {
		t.Run(name, func(t *testing.T) { sendSlowly(t, c.key, c.detail) })
	}
}

func sendSlowly(t *testing.T, key, detail string) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		server: server.Config{
			ReadTimeout: 50 * time.Millisecond,
		},
	})
	conn, err := net.Dial("tcp", f.address.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	answer, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 40"))
	is.True(strings.Contains(string(answer), detail))
}

func TestMemoryOfAllBodiesIsLimited(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		server: server.Config{
			BodyMemoryBytes: 20,
		},
	})
	answer := f.send("POST", "/v1/completions", `{"model":"ledger","prompt":"x"}`)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.Equal(answer.Header.Get("Retry-After"), "1")
	refusal := f.decodeRefusal(answer)
	is.Equal(refusal.Error.Code, refuser.CodeBusy)
	is.Equal(refusal.Error.Outcome, refuser.NotRun)
}
