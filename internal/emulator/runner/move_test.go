package runner_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
)

// prefixBody is the request body that identifies the moved prefix.
const prefixBody = `{"prefix":"p"}`

// newSource returns an engine that has the prefix cached, with a KV cache of the given size in bytes.
func newSource(size int64) *runner.Runner {
	r := runner.New(runner.Config{
		Name:        "from",
		PrefixBytes: size,
	})
	request := httptest.NewRequest(http.MethodPost, "/v1/cache/import", bytes.NewReader([]byte(prefixBody)))
	r.ServeHTTP(httptest.NewRecorder(), request)
	return r
}

func TestMovedPrefixIsCachedAtTheReceiver(t *testing.T) {
	is := is.New(t)
	from := newSource(1000)
	to := runner.New(runner.Config{
		Name: "to",
	})
	is.Equal(post(t, to, "/v1/cache/export", prefixBody).Code, http.StatusNotFound)
	block := post(t, from, "/v1/cache/export", prefixBody)
	is.Equal(block.Code, http.StatusOK)
	is.True(block.Body.Len() > 1000)
	is.Equal(post(t, to, "/v1/cache/import", block.Body.String()).Code, http.StatusNoContent)
	is.Equal(post(t, to, "/v1/cache/export", prefixBody).Code, http.StatusOK)
}

// BenchmarkMovePrefix exports a prefix from one engine and imports it at another
// over loopback. It measures the throughput of the protocol, as no KV cache is computed.
func BenchmarkMovePrefix(b *testing.B) {
	for _, size := range []int64{0, 1 << 20, 64 << 20, 512 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			from := httptest.NewServer(newSource(size))
			defer from.Close()
			to := httptest.NewServer(runner.New(runner.Config{
				Name: "to",
			}))
			defer to.Close()
			b.SetBytes(size)
			for b.Loop() {
				movePrefix(b, from.URL, to.URL)
			}
		})
	}
}

func movePrefix(b *testing.B, from, to string) {
	b.Helper()
	exported, err := http.Post(from+"/v1/cache/export", "application/json", bytes.NewReader([]byte(prefixBody)))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = exported.Body.Close() }()
	imported, err := http.Post(to+"/v1/cache/import", "application/json", exported.Body)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = imported.Body.Close() }()
	if _, err := io.Copy(io.Discard, imported.Body); err != nil || imported.StatusCode != http.StatusNoContent {
		b.Fatal(err, imported.Status)
	}
}
