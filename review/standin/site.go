package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every instance.
const (
	frontPort = 8221
	readyPort = 8224
	adminPort = 9464
)

// The bounds in the settings of the instances, as on the pages' small deployments.
const (
	drainTime     = 2 * time.Second
	stableTime    = 3 * time.Second
	leaseTime     = 3 * time.Second
	heartbeat     = 1200 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	configTime    = 2 * time.Second
	registerLimit = 3 * heartbeat
)

// site is a small deployment on loopback addresses.
type site struct {
	record  *record
	program string
	folder  string
	trouble bool
	network string
	store   *store

	mu     sync.Mutex
	fronts []*front
}

// newSite starts a store, on a network of loopback addresses that nothing else uses.
func newSite(program string, r *record, trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	s := &site{
		record:  r,
		program: program,
		folder:  folder,
		trouble: trouble,
	}
	for try := range 200 {
		s.network = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, (os.Getpid()/200+try)%250)
		if s.networkFree() {
			break
		}
	}
	if s.store, err = newStore(s.network + ".250"); err != nil {
		return nil, err
	}
	r.note("trouble %v, network %s.0", trouble, s.network)
	return s, nil
}

// networkFree reports whether the ports of the first instances are free.
func (s *site) networkFree() bool {
	for number := 1; number <= 8; number++ {
		for _, port := range []int{frontPort, readyPort, adminPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.network, number, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// close ends all processes that the site started.
func (s *site) close() {
	s.mu.Lock()
	fronts := s.fronts
	s.mu.Unlock()
	for _, f := range fronts {
		f.stop()
	}
	_ = os.RemoveAll(s.folder)
}

// front is one instance of the real program on an address of its own. Its supervisor starts it again after it has ended.
type front struct {
	site     *site
	name     string
	host     string
	zone     string
	settings string
	// text is the text of the settings, with "first" where it depends on the start.
	text string

	mu      sync.Mutex
	command *exec.Cmd
	// startedAt is when the process was last started.
	startedAt time.Time
	// killed is set before the process is killed by the case, so that its end is not counted.
	killed  bool
	stopped bool
	// heldDown is set while the process must not be started again.
	heldDown bool
	// ends are the states in which the process ended by itself.
	ends []string
}

// zones are the zones of every site.
var zones = []string{"east-a", "east-b", "east-c"}

// addFront creates an instance, not yet started.
func (s *site) addFront() (*front, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.fronts) + 1
	f := &front{
		site: s,
		zone: zones[(number-1)%len(zones)],
		host: fmt.Sprintf("%s.%d", s.network, number),
	}
	f.name = fmt.Sprintf("front-%s-%d", f.zone, number)
	f.settings = filepath.Join(s.folder, f.name+".yaml")
	f.text = fmt.Sprintf(`node_name: %q
role: "entry"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "east"
zones: {east-a: "east", east-b: "east", east-c: "east"}
bind: {front: "%s:%d", ready: "%s:%d", control: "%s:8229"}
port_range: [7600, 7615]
seeds: []
bootstrap: first
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: %d
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_ms: %d, ack_ms: 4000, catch_up_s: 4, drain_ms: %d, grace_s: 8, loss_slack_ms: 200, config_deadline_ms: %d, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false, revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 54, quota_window_s: 8, quota_over: 0.1, quota_slack: 110000, recover_s: 12, pass_ms: 120, retry_after_s: 0, checks_fence: true, lease_ms: %d, thaw_ms: 300, ceiling_window_s: 5, ceiling_over: 1.1}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, f.name, f.host, f.zone, f.host, frontPort, f.host, readyPort, f.host, heartbeat.Milliseconds(),
		stableTime.Milliseconds(), drainTime.Milliseconds(), configTime.Milliseconds(), leaseTime.Milliseconds(), s.store.address)
	s.fronts = append(s.fronts, f)
	return f, nil
}

// address is where the instance serves clients.
func (f *front) address() string { return fmt.Sprintf("%s:%d", f.host, frontPort) }

// start starts the process and its supervisor.
func (f *front) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(f.site.folder, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	first := strconv.FormatBool(f.startedAt.IsZero())
	if err := os.WriteFile(f.settings, []byte(strings.Replace(f.text, "bootstrap: first", "bootstrap: "+first, 1)), 0o600); err != nil {
		return err
	}
	command := exec.Command(f.site.program)
	command.Dir = filepath.Dir(filepath.Dir(f.site.program))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.site.folder, "BUCKTHORNGAP_BOOT=" + f.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	f.command, f.startedAt, f.killed = command, time.Now(), false
	f.site.record.line("%s process %d started", f.name, command.Process.Pid)
	go f.supervise(command)
	return nil
}

// supervise starts the process again after its end.
func (f *front) supervise(command *exec.Cmd) {
	_ = command.Wait()
	state := command.ProcessState.String()
	f.mu.Lock()
	if !f.killed && !f.stopped {
		f.ends = append(f.ends, state)
		f.site.record.note("%s process %d ended by itself: %s", f.name, command.Process.Pid, state)
	}
	f.mu.Unlock()
	time.Sleep(restartDelay)
	for {
		f.mu.Lock()
		stopped, heldDown := f.stopped, f.heldDown
		f.mu.Unlock()
		if stopped {
			return
		}
		if !heldDown {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := f.start(); err != nil {
		f.site.record.note("%s did not start: %v", f.name, err)
	}
}

// signal sends a signal to the process.
func (f *front) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed = f.killed || signal == syscall.SIGKILL
	if f.command != nil {
		f.site.record.line("%s process %d gets %v", f.name, f.command.Process.Pid, signal)
		_ = f.command.Process.Signal(signal)
	}
}

// holdDown keeps the process from being started again while down is set.
func (f *front) holdDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldDown = down
}

// ended returns how often the process ended by itself.
func (f *front) ended() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ends)
}

// upFor returns how long the process has been running.
func (f *front) upFor(at time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Sub(f.startedAt)
}

func (f *front) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	if f.command != nil && f.command.Process != nil {
		_ = f.command.Process.Kill()
	}
}

// ready reports whether the process answers the load balancer's check with 200.
func (f *front) ready() bool {
	client := &http.Client{
		Timeout: 500 * time.Millisecond,
	}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/buckthorngap/readiness", f.host, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startFronts creates and starts a number of instances and waits until all are ready.
func (s *site) startFronts(count int) error {
	for range count {
		if _, err := s.addFront(); err != nil {
			return err
		}
	}
	for _, f := range s.fronts {
		if err := f.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(30 * time.Second)
}

// awaitReady waits until all instances are ready.
func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, f := range s.fronts {
		for !f.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %s", f.name, s.lastLog(f))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.note("%d instances are ready", len(s.fronts))
	return nil
}

// lastLog returns the last lines of an instance's log.
func (s *site) lastLog(f *front) string {
	data, _ := os.ReadFile(filepath.Join(s.folder, f.name+".log"))
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-5):], []byte(" | ")))
}
