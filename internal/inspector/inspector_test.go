package inspector_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/inspector"
	"github.com/buckthorngap/buckthorngap/internal/invoker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

var (
	// nowhere is a target whose service does not exist.
	nowhere = configurator.Target{Service: "x", Weight: 1}
	// stray is a key of a team that does not exist.
	stray = configurator.Key{Name: "stray", Team: "x", Hash: strings.Repeat("b", 64)}
)

// clean returns a configuration without mistakes: the first route is shorter than the load of its model.
func clean() *configurator.Archive {
	return &configurator.Archive{
		Teams: []configurator.Team{{Name: "crates", Rate: 100, Burst: 500, Charge: 200}},
		Keys:  []configurator.Key{{Name: "clerk", Team: "crates", Hash: strings.Repeat("a", 64)}},
		Models: []configurator.Model{
			{Name: "ledger", Version: "v1", Load: 8 * time.Second},
		},
		Versions: []configurator.Version{{Model: "ledger", Name: "v1", Checkpoint: "ledger", Bytes: 70}},
		Services: []configurator.Service{
			{Name: "desk", Connections: 96},
			{
				Name:        "engines",
				Connections: 96,
				Engine: &configurator.Engine{
					Models: []string{"ledger"},
					Slots:  64,
					Tokens: 1000,
					Bytes:  100,
				},
			},
		},
		Routes: []configurator.Route{
			{
				Name:      "short",
				Host:      "depot.example",
				Prefix:    "/short/",
				Timeout:   5 * time.Second,
				Objective: time.Second,
				Gap:       time.Second,
				Attempts:  1,
				Targets:   []configurator.Target{{Service: "engines", Weight: 9}, {Service: "desk", Weight: 1}},
			},
			{
				Name:     "long",
				Host:     "depot.example",
				Prefix:   "/long/",
				Timeout:  20 * time.Second,
				Attempts: 2,
				Targets:  []configurator.Target{{Service: "engines", Weight: 1}},
			},
		},
	}
}

func inspect(t *testing.T, archive *configurator.Archive) []inspector.Finding {
	t.Helper()
	is := is.New(t)
	document, err := archive.Encode()
	is.NoErr(err)
	findings, err := inspector.New(inspector.Config{
		Decode:         configurator.DecodeArchive,
		StatesAttempts: true,
		Fields:         map[string]string{"objective": "goal"},
	}).Inspect(document)
	is.NoErr(err)
	return findings
}

func TestFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(inspect(t, clean())), 0)
	for name, row := range map[string]struct {
		seed func(a *configurator.Archive)
		want string
	}{
		"route to no service":    {func(a *configurator.Archive) { a.Routes[1].Targets = append(a.Routes[1].Targets, nowhere) }, "refused: route long: service x does not exist"},
		"same prefix":            {func(a *configurator.Archive) { a.Routes[1].Prefix = "/short/" }, "refused: route long: prefix: belongs to route short"},
		"prefix without slash":   {func(a *configurator.Archive) { a.Routes[1].Prefix = "/long" }, "refused: route long: prefix: must begin"},
		"negative weight":        {func(a *configurator.Archive) { a.Routes[0].Targets[1].Weight = -1 }, "refused: route short: targets: must have weights"},
		"negative rate":          {func(a *configurator.Archive) { a.Teams[0].Rate = -1 }, "refused: team crates: rate: must be zero"},
		"key of no team":         {func(a *configurator.Archive) { a.Keys = append(a.Keys, stray) }, "refused: key stray: team x does not exist"},
		"weight 0":               {func(a *configurator.Archive) { a.Routes[0].Targets[1].Weight = 0 }, "unused: route short: targets: service desk has weight 0"},
		"service without route":  {func(a *configurator.Archive) { a.Routes[0].Targets = a.Routes[0].Targets[:1] }, "unused: service desk: no route"},
		"team without key":       {func(a *configurator.Archive) { a.Keys = nil }, "unused: team crates: has no key"},
		"host with port":         {func(a *configurator.Archive) { a.Routes[1].Host += ":80" }, "unused: route long: host: has a port"},
		"prefix with query":      {func(a *configurator.Archive) { a.Routes[1].Prefix = "/?q/" }, "unused: route long: prefix: has a question mark"},
		"team twice":             {func(a *configurator.Archive) { a.Teams = append(a.Teams, a.Teams[0]) }, "unused: team crates: is listed twice"},
		"key twice":              {func(a *configurator.Archive) { a.Keys = append(a.Keys, a.Keys[0]) }, "unused: key clerk of team crates: is listed twice"},
		"route twice":            {func(a *configurator.Archive) { a.Routes = append(a.Routes, a.Routes[0]) }, "unused: route short: is listed twice"},
		"service twice":          {func(a *configurator.Archive) { a.Services = append(a.Services, a.Services[0]) }, "unused: service desk: is listed twice"},
		"engines without models": {func(a *configurator.Archive) { a.Services[1].Engine.Models = nil }, "unused: service engines: engine: the engines have no model"},
		"goal over limit":        {func(a *configurator.Archive) { a.Routes[0].Objective = 6 * time.Second }, "contradiction: route short: goal: 6s is longer"},
		"gap over limit":         {func(a *configurator.Archive) { a.Routes[0].Gap = 6 * time.Second }, "contradiction: route short: gap: 6s is longer"},
		"no attempt":             {func(a *configurator.Archive) { a.Routes[0].Attempts = 0 }, "contradiction: route short: attempts: is zero"},
		"limit under the load":   {func(a *configurator.Archive) { a.Routes[1].Timeout = 7 * time.Second }, "contradiction: service engines: engine: model ledger loads in 8s"},
		"model over the engine":  {func(a *configurator.Archive) { a.Services[1].Engine.Bytes = 69 }, "contradiction: service engines: engine: model ledger takes 70"},
		"no slots":               {func(a *configurator.Archive) { a.Services[1].Engine.Slots = 0 }, "contradiction: service engines: engine: the engines have no slots"},
		"few connections":        {func(a *configurator.Archive) { a.Services[1].Connections = 63 }, "contradiction: service engines: connections: 63 do not"},
		"burst under a request":  {func(a *configurator.Archive) { a.Teams[0].Burst = 199 }, "contradiction: team crates: burst: 199 is below"},
		"flat without burst":     {func(a *configurator.Archive) { a.Teams[0].Flat, a.Teams[0].Burst = true, 0 }, "contradiction: team crates: burst: 0 is below"},
		"charge over an engine":  {func(a *configurator.Archive) { a.Teams[0].Charge, a.Teams[0].Burst = 1001, 1001 }, "contradiction: team crates: charge: 1001 tokens"},
	} {
		t.Run(name, func(t *testing.T) {
			archive := clean()
			row.seed(archive)
			findings := inspect(t, archive)
			if len(findings) != 1 || !strings.HasPrefix(findings[0].String(), row.want) {
				t.Fatal(findings)
			}
		})
	}
}

func TestCommand(t *testing.T) {
	changed := clean()
	changed.Routes[0].Timeout = 4 * time.Second
	changed.Services = append(changed.Services, configurator.Service{Name: "yard", Path: "/yard/"})
	wrong := clean()
	wrong.Keys = nil
	for name, row := range map[string]struct {
		document  string
		arguments []string
		code      int
		output    string
		message   string
	}{
		"clean":     {encode(t, clean()), nil, invoker.ExitDone, "", ""},
		"different": {encode(t, changed), []string{"--against"}, invoker.ExitDone, "added: service yard\nchanged: route short: timeout from 5s to 4s\n", ""},
		"json":      {encode(t, wrong), []string{"--json"}, inspector.ExitFound, `{"findings":[{"class":"unused","kind":"team","name":"crates"`, "findings: 1"},
		"found":     {encode(t, wrong), nil, inspector.ExitFound, "unused: team crates: has no key", "findings: 1"},
		"cut":       {"{\n \"teams\": [", nil, inspector.ExitUnreadable, "", "line 2, byte 11: "},
		"mistyped":  {"{\n\"routes\": [{\"timeout\": \"4s\"}]}", nil, inspector.ExitUnreadable, "", "line 2, byte 27: routes.timeout: "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arguments := append([]string{"check", write(t, row.document)}, row.arguments...)
			if len(row.arguments) > 0 && row.arguments[0] == "--against" {
				arguments = append(arguments, write(t, encode(t, clean())))
			}
			code, output, message := run(arguments)
			t.Log(output, message)
			is.Equal(code, row.code)
			is.True(strings.HasPrefix(output, row.output))
			is.True(strings.HasPrefix(message, row.message))
		})
	}
	code, _, _ := run([]string{"check", "absent"})
	is.New(t).Equal(code, inspector.ExitUnreadable)
}

// run runs a program with the check as its only command.
func run(arguments []string) (code int, output, message string) {
	var out, errs strings.Builder
	app := kingpin.New("trial", "A trial.")
	clause := app.Command("check", "Check.")
	command := inspector.NewCommand(clause, inspector.New(inspector.Config{
		Decode: configurator.DecodeArchive,
	}), &out)
	code = invoker.New(invoker.Config{
		Invocation: invoker.Invocation{
			Arguments: arguments,
			Output:    &out,
			Errors:    &errs,
		},
		Application: app,
		Commands:    map[string]invoker.Command{"check": command.Run},
	}).Run()
	return code, out.String(), errs.String()
}

func encode(t *testing.T, archive *configurator.Archive) string {
	document, err := archive.Encode()
	is.New(t).NoErr(err)
	return string(document)
}

func write(t *testing.T, document string) string {
	path := filepath.Join(t.TempDir(), "document.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(document), 0o600))
	return path
}
