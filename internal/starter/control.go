package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/buckthorngap/buckthorngap/internal/emulator/linker"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
)

// SetPartitions sets the network partitions between failure domains, and between them
// and the platform, which is named linker.PlatformDomain. It replaces all
// earlier ones; without pairs it heals the network. Errors are as of Post.
func (s *Site) SetPartitions(ctx context.Context, pairs ...linker.Pair) error {
	if pairs == nil {
		pairs = []linker.Pair{}
	}
	return s.Post(ctx, s.network.Callers, "/", pairs)
}

// Isolate partitions a failure domain from all others and from the platform,
// and heals all other partitions. Errors are as of Post.
func (s *Site) Isolate(ctx context.Context, domain string) error {
	pairs := []linker.Pair{
		{
			A: domain,
			B: linker.PlatformDomain,
		},
	}
	for _, other := range s.config.Domains {
		if other.Name != domain {
			pairs = append(pairs, linker.Pair{
				A: domain,
				B: other.Name,
			})
		}
	}
	return s.SetPartitions(ctx, pairs...)
}

// SetFaults replaces the faults that the emulated platform injects. Errors are as of Post.
func (s *Site) SetFaults(ctx context.Context, faults platformer.Faults) error {
	return s.Post(ctx, s.Platform.Callers, platformer.PathFaults, faults)
}

// Control posts JSON to a control path of the emulated platform. Errors are as of Post.
func (s *Site) Control(ctx context.Context, path string, body any) error {
	return s.Post(ctx, s.Platform.Callers, path, body)
}

// Counts returns the emulated platform's counts of its calls. Errors are as of Read.
func (s *Site) Counts(ctx context.Context) (platformer.Counts, error) {
	var counts platformer.Counts
	err := s.Read(ctx, s.Platform.Callers, platformer.PathCounts, &counts)
	return counts, err
}

// Read gets JSON from a process and decodes it. It returns *Failed for a status
// of 400 or above, and otherwise the error of the transport or decoder.
func (s *Site) Read(ctx context.Context, address netip.AddrPort, path string, into any) error {
	return s.call(ctx, http.MethodGet, address, path, nil, into)
}

// Post posts JSON to a process. It returns *Failed for a status of 400 or
// above, and otherwise the error of the encoder or transport.
func (s *Site) Post(ctx context.Context, address netip.AddrPort, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.call(ctx, http.MethodPost, address, path, data, nil)
}

func (s *Site) call(ctx context.Context, method string, address netip.AddrPort, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return &Failed{
			Process: address.String(),
			Step:    method + " " + path,
			Output:  string(data),
		}
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}
