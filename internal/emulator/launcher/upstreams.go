package launcher

import (
	"context"
	"net/http"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

const (
	limitHelp = "Requests per second that answers state as the limit of all instances together; negative for none."
	noLimit   = "-1"
)

// stateLimit makes answers state a limit, in requests per second, unless it is negative.
func stateLimit(faults *faulter.Faulter, rate float64) {
	if rate < 0 {
		return
	}
	faults.Set(faulter.Fault{
		Kind:  faulter.Limit,
		Count: -1,
		Rate:  rate,
	})
}

func (l *Launcher) addEngine() {
	command := l.app.Command("engine", "A model engine.")
	listen := command.Flag("listen", "Address and port.").Default("127.0.0.1:0").String()
	name := command.Flag("name", "Name in the platform's list.").Required().String()
	bytes := command.Flag("bytes", "Accelerator memory, in bytes.").Default("85899345920").Int64()
	slots := command.Flag("slots", "Requests that run at once.").Default("64").Int()
	fencing := command.Flag("fencing", "Refuse old fencing numbers.").Bool()
	first := command.Flag("first", "Time to the first token.").Default("20ms").Duration()
	token := command.Flag("token", "Time between tokens.").Default("5ms").Duration()
	lag := command.Flag("lag", "Maximum age of load reports.").Default("200ms").Duration()
	deadly := command.Flag("deadly", "Text of prompts under which the engine crashes as it begins to answer.").String()
	eventLag := command.Flag("event-lag", "Delay before cache events are published.").Default("500ms").Duration()
	eventGap := command.Flag("event-gap", "Drop every n-th cache event; 0 drops none.").Default("10").Int()
	weights := command.Flag("weights", "URL of the weight store; without it, remote checkpoints are read at the speed of the disk.").String()
	disk := command.Flag("disk", "Read speed from disk, in bytes per second.").Default("2000000000").Int64()
	memory := command.Flag("memory", "Read speed from host memory, in bytes per second.").Default("20000000000").Int64()
	onDisk := command.Flag("on-disk", "A checkpoint that is on disk; may be repeated.").Strings()
	inMemory := command.Flag("in-memory", "A checkpoint that is in host memory; may be repeated.").Strings()
	journal := command.Flag("journal", "Requests kept in the journal.").Default("20000").Int()
	limit := command.Flag("limit", limitHelp).Default(noLimit).Float64()
	l.commands["engine"] = func(ctx context.Context) error {
		config := runner.Config{
			Name:                 *name,
			MemoryBytes:          *bytes,
			Slots:                *slots,
			Fencing:              *fencing,
			FirstTokenDelay:      *first,
			TokenInterval:        *token,
			MaxReportAge:         *lag,
			EventLag:             *eventLag,
			EventGap:             *eventGap,
			DiskBytesPerSecond:   *disk,
			MemoryBytesPerSecond: *memory,
			Journal:              *journal,
			Cached:               cachedPlaces(*onDisk, *inMemory),
		}
		if *weights != "" {
			fetcher := &runner.Fetcher{
				URL:    *weights,
				Client: http.DefaultClient,
			}
			config.Fetch = fetcher.Fetch
		}
		engine := runner.New(config)
		stateLimit(engine.Faults(), *limit)
		engine.Faults().Set(faulter.Fault{
			Kind:  faulter.Deadly,
			Count: -1,
			Text:  *deadly,
		})
		return l.serve(ctx, *name, *listen, engine)
	}
}

// cachedPlaces maps the checkpoints on disk and in host memory to these places.
func cachedPlaces(onDisk, inMemory []string) map[string]reporter.Place {
	cached := map[string]reporter.Place{}
	for _, checkpoint := range onDisk {
		cached[checkpoint] = reporter.PlaceDisk
	}
	for _, checkpoint := range inMemory {
		cached[checkpoint] = reporter.PlaceMemory
	}
	return cached
}

func (l *Launcher) addService() {
	command := l.app.Command("service", "A plain service.")
	listen := command.Flag("listen", "Address and port.").Default("127.0.0.1:0").String()
	name := command.Flag("name", "Name in the platform's list.").Required().String()
	duration := command.Flag("time", "Duration of a call.").Default("1ms").Duration()
	journal := command.Flag("journal", "Calls kept in the journal.").Default("50000").Int()
	limit := command.Flag("limit", limitHelp).Default(noLimit).Float64()
	deadly := command.Flag("deadly", "Text of bodies under which the service crashes.").String()
	l.commands["service"] = func(ctx context.Context) error {
		service := servicer.New(servicer.Config{
			Name:    *name,
			Time:    *duration,
			Journal: *journal,
		})
		stateLimit(service.Faults(), *limit)
		service.Faults().Set(faulter.Fault{
			Kind:  faulter.Deadly,
			Count: -1,
			Text:  *deadly,
		})
		return l.serve(ctx, *name, *listen, service)
	}
}
