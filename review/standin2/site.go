package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run to record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		fail(err)
	}
	return &Record{file: file, began: time.Now()}
}

func (r *Record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends a case that could not run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	stopAll()
	os.Exit(2)
}

var (
	runningMu sync.Mutex
	running   []*Front
	scratch   string
)

// stopAll ends all processes that this case started, and removes its temporary folder.
func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, f := range running {
		f.kill()
	}
	if scratch != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(scratch)
	}
}

// base returns the prefix of loopback addresses of this run.
func base() string { return fmt.Sprintf("127.%d.%d", 101+os.Getpid()%100, os.Getpid()/100%250) }

// address returns a loopback address of this run.
func address(number int) string { return fmt.Sprintf("%s.%d", base(), number) }

// listen listens on a loopback address of this run.
func listen(number int) net.Listener {
	listener, err := net.Listen("tcp", address(number)+":0")
	if err != nil {
		fail(err)
	}
	return listener
}

// Site is a small deployment: a store, an operator's configuration, engines and fronts.
type Site struct {
	store   *Store
	address string
	record  *Record
	// fenceless is set if engines don't check fence numbers.
	fenceless bool
}

func newSite(record *Record) *Site {
	var err error
	if scratch, err = os.MkdirTemp("", "review2-"); err != nil {
		fail(err)
	}
	listener := listen(250)
	site := &Site{store: newStore(), address: listener.Addr().String(), record: record}
	go func() { _ = http.Serve(listener, site.store) }()
	return site
}

// configure writes the operator's configuration.
func (s *Site) configure(config map[string]any) {
	data, err := json.Marshal(config)
	if err != nil {
		fail(err)
	}
	s.store.put("op/config", data)
}

// register writes the entry of an engine at each heartbeat, until stop is closed.
func (s *Site) register(id string, entry map[string]any, stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 1; ; sequence++ {
			entry["sequence"], entry["born"] = sequence, born
			data, _ := json.Marshal(entry)
			s.store.put("servers/"+id, data)
			select {
			case <-stop:
				s.store.drop("servers/" + id)
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
}

// Front is one instance of the project's program.
type Front struct {
	name, ip, settings, log string
	command                 *exec.Cmd
	done                    chan struct{}
}

const settingsFormat = `node_name: %q
role: "entry"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "r"
zones: {"z-a": "r", "z-b": "r", "z-c": "r"}
bind: {front: "%s:8221", ready: "%s:8224"}
port_range: [7600, 7615]
seeds: []
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_deadline_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false, revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 52, quota_window_s: 8, quota_over: 0.1, quota_slack: 110000, recover_s: 12, pass_ms: 120, retry_after_s: 0, checks_fence: true, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, ceiling_over: 1.1}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

// newFront writes the settings of an instance, which is not yet started.
func (s *Site) newFront(number int, zone string) *Front {
	f := &Front{name: fmt.Sprintf("front-%s-%d", zone, number), ip: address(number)}
	f.settings, f.log = filepath.Join(scratch, f.name+".yaml"), filepath.Join(scratch, f.name+".log")
	text := fmt.Sprintf(settingsFormat, f.name, f.ip, zone, f.ip, f.ip, s.address)
	if s.fenceless {
		text = strings.Replace(text, "checks_fence: true", "checks_fence: false", 1)
	}
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		fail(err)
	}
	return f
}

// start starts the process with the command of the deploy file.
func (f *Front) start() {
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	defer log.Close()
	f.command = exec.Command("target/front")
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNGAP_BOOT=" + f.settings}
	f.command.Stdout, f.command.Stderr = log, log
	if err := f.command.Start(); err != nil {
		fail(err)
	}
	f.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(f.command, f.done)
	runningMu.Lock()
	defer runningMu.Unlock()
	running = append(running, f)
}

func (f *Front) signal(signal syscall.Signal) { _ = f.command.Process.Signal(signal) }

func (f *Front) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

func (f *Front) kill() {
	f.signal(syscall.SIGCONT)
	f.signal(syscall.SIGKILL)
	<-f.done
}

// ready reports whether the instance says that it is ready.
func (f *Front) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + f.ip + ":8224/buckthorngap/readiness")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready.
func (f *Front) awaitReady() {
	for end := time.Now().Add(20 * time.Second); !f.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) || f.ended() {
			fail(fmt.Errorf("%s did not become ready", f.name))
		}
	}
}
