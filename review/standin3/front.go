package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// memoryMegabytes is the memory of a machine, of the sheet of bula-dry.
const memoryMegabytes = 284

// front is one machine of the system with its process.
type front struct {
	name, host, zone string
	callers, ready   string
	settings, log    string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// freeAddress returns an address of a host with a port that is free.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// newFront writes the settings of a machine.
func newFront(folder, name, host, zone, storeAddress string) (*front, error) {
	f := &front{
		name:     name,
		host:     host,
		zone:     zone,
		settings: filepath.Join(folder, name+".yaml"),
		log:      filepath.Join(folder, name+".log"),
	}
	var err error
	if f.callers, err = freeAddress(host); err != nil {
		return nil, err
	}
	if f.ready, err = freeAddress(host); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`node_name: %q
role: "entry"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "viti-levu"
zones: {suva-a: "viti-levu", nadi-b: "viti-levu", lautoka-c: "viti-levu"}
bind: {front: %q, ready: %q}
port_range: [7600, 7615]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_deadline_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false, revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 54, quota_window_s: 8, quota_over: 0.1, quota_slack: 110000, recover_s: 12, pass_ms: 120, retry_after_s: 0, checks_fence: true, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, ceiling_over: 1.1}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, name, host, zone, f.callers, f.ready, memoryMegabytes, storeAddress)
	return f, os.WriteFile(f.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (f *front) start() error {
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/front")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNGAP_BOOT=" + f.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	f.mu.Lock()
	f.command, f.done = command, done
	f.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (f *front) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.command != nil {
		_ = f.command.Process.Signal(signal)
	}
}

// stop kills the process and waits for its end.
func (f *front) stop() {
	f.signal(syscall.SIGKILL)
	f.mu.Lock()
	done := f.done
	f.mu.Unlock()
	if done != nil {
		<-done
	}
}

// isReady asks for the readiness as the platform does.
func (f *front) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	answer, err := client.Get("http://" + f.ready + "/buckthorngap/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (f *front) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.isReady() {
			return true
		}
	}
	return false
}
