package starter

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one process of a site. It can be restarted after it has ended.
type Process struct {
	// Name is the process's name, under which the platform lists instances and upstreams.
	Name string
	// Domain is its failure domain; empty for the platform, the weight store and the network.
	Domain string
	// Callers is the address on which an instance accepts requests, or on which an emulator serves HTTP.
	Callers netip.AddrPort
	// Operators is the address on which an instance accepts operators.
	Operators netip.AddrPort
	// Admin is the address on which an instance serves health checks, metrics and state dumps.
	Admin netip.AddrPort

	binary    string
	arguments []string
	logPath   string
	mutex     sync.Mutex
	// command, ended and failure belong to the latest start; failure is the exit error.
	command *exec.Cmd
	ended   chan struct{}
	failure error
}

// start starts the process and appends its output to its log file.
func (p *Process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	file, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return p.failed("log", err)
	}
	defer func() { _ = file.Close() }()
	p.command = exec.Command(p.binary, p.arguments...)
	p.command.Stdout = file
	p.command.Stderr = file
	// The kernel kills the process when its parent dies, so that an interrupted test leaves no processes behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.command.Start(); err != nil {
		return p.failed("start", err)
	}
	p.ended = make(chan struct{})
	waiter := &processWaiter{
		process: p,
		command: p.command,
		ended:   p.ended,
	}
	go waiter.run()
	return nil
}

// processWaiter waits for the end of one start of a process and records its exit error.
type processWaiter struct {
	process *Process
	command *exec.Cmd
	ended   chan struct{}
}

func (w *processWaiter) run() {
	err := w.command.Wait()
	w.process.mutex.Lock()
	w.process.failure = err
	w.process.mutex.Unlock()
	close(w.ended)
}

// Kill sends SIGKILL to the process and waits for its end.
func (p *Process) Kill() { p.signal(syscall.SIGKILL); <-p.Ended() }

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Restart starts the process again after its end, with the same arguments and
// addresses. It returns *Failed if it cannot be started.
func (p *Process) Restart() error { return p.start() }

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ended
}

// AwaitExit waits for the process's end and returns its exit error, or nil for exit
// status 0. It returns *Failed if the process runs on past the limit.
func (p *Process) AwaitExit(limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.Ended():
	case <-timer.C:
		return p.failed("exit in time", nil)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.failure
}

// Log returns what the process printed since its first start; empty if the log cannot be read.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.logPath)
	return string(data)
}

// PeakMemory returns the largest resident memory that the process has had since its latest start, in bytes. It returns *Failed if the
// process has ended.
func (p *Process) PeakMemory() (int64, error) {
	p.mutex.Lock()
	path := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "status")
	p.mutex.Unlock()
	status, err := os.ReadFile(path)
	if err != nil {
		return 0, p.failed("memory", err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	size, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseInt(size, 10, 64)
	if err != nil {
		return 0, p.failed("memory", err)
	}
	return kilobytes << 10, nil
}

func (p *Process) signal(signal os.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// failed returns a *Failed error that includes the process's log.
func (p *Process) failed(step string, cause error) error {
	return &Failed{
		Process: p.Name,
		Step:    step,
		Output:  p.Log(),
		Cause:   cause,
	}
}

// logMode is the file mode of logs and settings, which only the user may read.
const logMode = 0o600

// logFile returns the path of a process's log file.
func logFile(directory, name string) string {
	return filepath.Join(directory, name+".log")
}
