package launcher

import (
	"context"
	"os"
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/generator"
)

// secretVariable is the environment variable with the secret of the key for the entry instance.
const secretVariable = "BUCKTHORNGAP_KEY"

// WrongAnswers reports that answers of a run were wrong or incomplete.
type WrongAnswers struct{}

// Error implements error.
func (e *WrongAnswers) Error() string { return "some answers were wrong or incomplete" }

func (l *Launcher) addLoad() {
	command := l.app.Command("load", "Measures the overhead of an entry instance compared to calling an engine directly.")
	engine := command.Flag("engine", "URL of the engine.").Required().String()
	checkpoint := command.Flag("checkpoint", "Checkpoint requested from the engine.").Required().String()
	entry := command.Flag("entry", "URL of the entry instance.").Required().String()
	model := command.Flag("model", "Model requested from the entry instance.").Required().String()
	keyFile := command.Flag("key-file", "File with the key; without it, the key is read from "+secretVariable+".").String()
	streams := command.Flag("streams", "Concurrent streams.").Default("500").Int()
	tokens := command.Flag("tokens", "Tokens per answer.").Default("50").Int()
	requests := command.Flag("requests", "Requests per stream and round.").Default("4").Int()
	rounds := command.Flag("rounds", "Rounds; each calls the engine directly and through the entry instance.").Default("3").Int()
	stagger := command.Flag("stagger", "Time over which the starts of a round are spread.").Default("1s").Duration()
	pid := command.Flag("pid", "Process ID of the entry instance, to measure its CPU time and memory.").Int()
	l.commands["load"] = func(ctx context.Context) error {
		secret := os.Getenv(secretVariable)
		if *keyFile != "" {
			data, err := os.ReadFile(*keyFile)
			if err != nil {
				return err
			}
			secret = strings.TrimSpace(string(data))
		}
		report, err := generator.New(generator.Config{
			Engine:     *engine,
			Checkpoint: *checkpoint,
			Entry:      *entry,
			Model:      *model,
			Secret:     secret,
			Streams:    *streams,
			Tokens:     *tokens,
			Requests:   *requests,
			Rounds:     *rounds,
			Stagger:    *stagger,
			Pid:        *pid,
		}).Run(ctx)
		if err != nil {
			return err
		}
		report.Print(l.invocation.Output)
		if report.Direct.Failed+report.Entry.Failed > 0 {
			return &WrongAnswers{}
		}
		return nil
	}
}
