package server_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// secretHeaders are header lines that contain the key: the one that authenticates the request and all other fields in
// which a caller may send it.
const secretHeaders = "Authorization: Bearer " + secret + "\r\n" +
	"X-Api-Key: " + secret + "\r\n" +
	"Api-Key: " + secret + "\r\n" +
	"Cookie: session=" + secret + "\r\n" +
	"X-Note: my key is " + secret + "\r\n" +
	"X-Request-Id: " + secret + "\r\n" +
	"Trailer: X-Late\r\n"

func TestNoKeyReachesAnUpstream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		services: 1,
	})
	for path, body := range map[string]string{
		"/v1/completions":      `{"model":"ledger","prompt":"x","max_tokens":2}`,
		"/v1/chat/completions": `{"model":"ledger","messages":[{"role":"user","content":"x"}],"max_tokens":2,"stream":true}`,
		"/crates/returns":      `crate 9`,
	} {
		conn, err := net.Dial("tcp", f.address.Listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST "+path+"?key="+secret+"&api_key="+secret+"&note="+secret+"&token=t&page=2 HTTP/1.1\r\nHost: x\r\n"+secretHeaders+
			"Idempotency-Key: "+path+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked(body)+"0\r\nX-Late: "+secret+"\r\n\r\n")
		is.NoErr(err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		readAll(t, answer)
		is.Equal(answer.StatusCode, http.StatusOK)
		is.True(answer.Header.Get("X-Request-Id") != secret)
		conn.Close()
	}
	is.Equal(len(f.engines[0].Requests()), 2)
	is.Equal(len(f.services[0].Calls()), 1)
	for _, request := range f.engines[0].Requests() {
		is.Equal(len(request.Metadata.Secrets), 0)
	}
	call := f.services[0].Calls()[0]
	is.Equal(len(call.Metadata.Secrets), 0)
	is.Equal(call.Metadata.Query.Get("page"), "2")
	journals, err := json.Marshal([]any{f.engines[0].Requests(), f.services[0].Calls()})
	is.NoErr(err)
	is.True(!strings.Contains(string(journals), secret))
	is.True(!strings.Contains(f.logged(), secret))
}

// chunked encodes a body of less than 256 bytes as one HTTP chunk.
func chunked(body string) string {
	const digits = "0123456789abcdef"
	size := len(body)
	return string([]byte{digits[size>>4], digits[size&15]}) + "\r\n" + body + "\r\n"
}

// TestJournalDetectsForwardedKeys checks that the test above would detect a key that reaches an upstream.
func TestJournalDetectsForwardedKeys(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		services: 1,
	})
	answer, err := http.Get("http://" + f.upstreams[1].Address.String() + "/crates/x?api_key=" + secret)
	is.NoErr(err)
	answer.Body.Close()
	is.Equal(f.services[0].Calls()[0].Metadata.Secrets, []string{"api_key"})
}
