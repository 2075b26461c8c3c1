package operationmeter

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// observation holds the resources that all instances together have used so far.
type observation struct {
	at  time.Time
	cpu time.Duration
	// resident is the resident memory, in bytes.
	resident int64
	// sent and received are the bytes exchanged with peers.
	sent     float64
	received float64
	// reads and writes are the calls to the platform's store.
	reads  int64
	writes int64
}

// observe reads each instance's metrics and traffic, and the platform's counts.
func (m *measurement) observe(ctx context.Context) (observation, error) {
	current := observation{
		at: time.Now(),
	}
	for _, instance := range m.site.Instances {
		values, err := readMetrics(ctx, instance)
		if err != nil {
			return current, err
		}
		current.cpu += time.Duration(values["process_cpu_seconds_total"] * float64(time.Second))
		current.resident += int64(values["process_resident_memory_bytes"])
		sent, received, err := m.traffic(ctx, instance)
		if err != nil {
			return current, err
		}
		current.sent += sent
		current.received += received
	}
	counts, err := m.site.Counts(ctx)
	current.reads, current.writes = counts.Reads, counts.Writes
	return current, err
}

// readMetrics reads an instance's metrics and sums the values of each over all labels.
func readMetrics(ctx context.Context, instance *starter.Process) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.Admin.String()+"/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(data)) {
		name, text, found := strings.Cut(strings.TrimSpace(line), " ")
		if value, err := strconv.ParseFloat(text, 64); found && err == nil {
			name, _, _ = strings.Cut(name, "{")
			values[name] += value
		}
	}
	return values, nil
}

// messagesDump is the part of a state dump that counts bytes on the wire.
type messagesDump struct {
	Messages struct {
		Links []struct {
			SentBytes float64 `json:"sentbytes"`
			ReadBytes float64 `json:"readbytes"`
		} `json:"links"`
	} `json:"messages"`
}

// traffic returns the bytes that an instance has sent to and received from its
// peers, including the transport's.
func (m *measurement) traffic(ctx context.Context, instance *starter.Process) (sent, received float64, err error) {
	var dump messagesDump
	if err := m.site.Read(ctx, instance.Admin, "/dump?part=messages", &dump); err != nil {
		return 0, 0, err
	}
	for _, link := range dump.Messages.Links {
		sent += link.SentBytes
		received += link.ReadBytes
	}
	return sent, received, nil
}
