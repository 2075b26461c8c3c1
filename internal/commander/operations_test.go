package commander

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// TestCommandsOfTheOperationsPageParse guards against commands in docs/OPERATIONS.md that no longer exist: it parses
// every line of the page that begins with the program's name.
func TestCommandsOfTheOperationsPageParse(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	parsedCommands := 0
	for line := range strings.Lines(string(page)) {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 || words[0] != "buckthorngap" {
			continue
		}
		c := New(invoker.Invocation{
			Arguments: words[1:],
			Output:    &strings.Builder{},
			Errors:    &strings.Builder{},
		})
		name, err := c.app.Parse(c.invocation.Arguments)
		if err != nil || c.commands[name] == nil {
			t.Error(line, err)
		}
		parsedCommands++
	}
	is.True(parsedCommands > 0) // the page contains commands
}
