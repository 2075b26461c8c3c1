package server_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
)

func TestEndToEndThroughTheInstance(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		engines:  2,
		services: 1,
	})
	body := readAll(t, f.send("POST", "/v1/completions", `{"model":"ledger","prompt":"where","max_tokens":5}`))
	is.True(strings.Contains(body, runner.Text(checkpoint, "where", 5)))
	is.True(strings.Contains(body, `"completion_tokens":5`))

	answer := f.send("POST", "/v1/chat/completions", `{"model":"nairobi","messages":[{"role":"user","content":"x"}],"max_tokens":7,"stream":true}`, "X-Request-Id", "r-7")
	is.Equal(answer.Header.Get("X-Request-Id"), "r-7")
	is.Equal(answer.Header.Get("Content-Type"), "text/event-stream")
	stream := readAll(t, answer)
	is.Equal(streamText(stream), runner.Text("nairobi", "user: x\n", 7))
	is.True(strings.HasSuffix(stream, "data: [DONE]\n\n"))
	is.True(!strings.Contains(stream, "usage"))

	var echo servicer.Answer
	is.NoErr(json.Unmarshal([]byte(readAll(t, f.send("POST", "/crates/returns", "crate 9", "Idempotency-Key", "k1"))), &echo))
	is.Equal(echo.Check, servicer.Sum("POST", "/crates/returns", []byte("crate 9")))
	is.Equal(f.services[0].Calls()[0].Metadata.Header.Get("X-Team"), "crates")

	models := readAll(t, f.send("GET", "/v1/models", ""))
	is.True(strings.Contains(models, `"ledger"`) && strings.Contains(models, `"nairobi"`))
	is.True(strings.Contains(f.logged(), "request=r-7"))
	is.True(!strings.Contains(f.logged(), secret))
}
