package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is what an engine got of a request.
type arrival struct {
	host, target string
}

func init() { cases["path"] = playPath }

// playPath sends requests on a route whose prefix is a single slash. With the trouble, their paths begin with two slashes, as
// clients send that join a base address and a path without care.
func playPath(s *site) (bool, error) {
	s.store.put("op/config", configuration(7))
	var mu sync.Mutex
	arrivals := map[string]arrival{}
	err := s.addEngine(&engine{
		id: "i-desk", zone: zones[0], version: "v1", service: plainService,
		answer: func(_ *engine, w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			arrivals[r.Header.Get("Request-Id")] = arrival{
				host:   r.Host,
				target: r.RequestURI,
			}
			_, _ = w.Write([]byte("balance"))
		},
	})
	if err != nil {
		return false, err
	}
	if err := s.startFronts(1); err != nil {
		return false, err
	}
	slash := "/"
	if s.trouble {
		slash = "//"
	}
	changed := 0
	for number := range 5 {
		id, target := newID(), fmt.Sprintf("%scrates/%d/balance?day=%d", slash, number, number)
		status, err := sendTarget(s.fronts[0].address(), "root.example", id, target)
		if err != nil {
			return false, err
		}
		mu.Lock()
		got, ran := arrivals[id]
		mu.Unlock()
		s.record.note("request %s: sent target %s to host root.example; engine ran it %v with target %s of host %s; the client got %s", id, target, ran, got.target, got.host, status)
		if ran && (got.target != target || got.host != "root.example") {
			changed++
		}
	}
	s.record.note("requests that ran with another path: %d of 5", changed)
	return changed > 0, nil
}

// sendTarget sends a request with exactly the given target and returns the status line of the answer.
func sendTarget(address, host, id, target string) (string, error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", target, host, id); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return response.Status, nil
}
