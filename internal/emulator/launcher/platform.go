package launcher

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/emulator/weigher"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// minRowFields is the minimum number of fields in an instance's row; the name of a service may follow.
const minRowFields = 4

// InvalidRow reports an instance's row that cannot be parsed.
type InvalidRow struct {
	// Row is the flag's value.
	Row string
}

// Error implements error.
func (e *InvalidRow) Error() string {
	return fmt.Sprintf("invalid instance %q, want name,domain,role,address[,service]", e.Row)
}

func (l *Launcher) addPlatform() {
	command := l.app.Command("platform", "The platform's key-value service and its list of instances.")
	listen := command.Flag("listen", "Address and port.").Default("127.0.0.1:0").String()
	rows := command.Flag("instance", "A row of the list as name,domain,role,address[,service]; may be repeated.").Strings()
	lag := command.Flag("lag", "Delay before changes show in the list.").Default("1s").Duration()
	reads := command.Flag("reads", "Rate limit for reads, per second; 0 means none.").Default("2000").Float64()
	writes := command.Flag("writes", "Rate limit for writes, per second; 0 means none.").Default("300").Float64()
	l.commands["platform"] = func(ctx context.Context) error {
		instances, err := parseRows(*rows)
		if err != nil {
			return err
		}
		return l.serve(ctx, "platform", *listen, platformer.New(platformer.Config{
			Instances:       instances,
			ListLag:         *lag,
			ReadsPerSecond:  *reads,
			WritesPerSecond: *writes,
			Now:             time.Now,
		}))
	}
}

func (l *Launcher) addWeights() {
	command := l.app.Command("weights", "The rate-limited weight store.")
	listen := command.Flag("listen", "Address and port.").Default("127.0.0.1:0").String()
	speed := command.Flag("speed", "Speed of one read, in bytes per second.").Default("1000000000").Float64()
	slots := command.Flag("slots", "Reads that can run at full speed at once.").Default("4").Int()
	loads := command.Flag("loads", "Reads that may start within a second.").Default("3").Int()
	l.commands["weights"] = func(ctx context.Context) error {
		return l.serve(ctx, "weights", *listen, weigher.New(weigher.Config{
			Speed:            *speed,
			Slots:            *slots,
			FetchesPerSecond: *loads,
			Now:              time.Now,
		}).Handler())
	}
}

func parseRows(rows []string) ([]storer.Instance, error) {
	instances := make([]storer.Instance, 0, len(rows))
	for _, row := range rows {
		instance, err := parseRow(row)
		if err != nil {
			return nil, err
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

func parseRow(row string) (storer.Instance, error) {
	fields := strings.Split(row, ",")
	if len(fields) < minRowFields {
		return storer.Instance{}, &InvalidRow{
			Row: row,
		}
	}
	address, err := netip.ParseAddrPort(fields[3])
	if err != nil {
		return storer.Instance{}, &InvalidRow{
			Row: row,
		}
	}
	instance := storer.Instance{
		Name:    fields[0],
		Domain:  fields[1],
		Role:    storer.Role(fields[2]),
		Address: address,
	}
	if len(fields) > minRowFields {
		instance.Service = fields[minRowFields]
	}
	return instance, nil
}
