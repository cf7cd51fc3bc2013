package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// logMode is the permission of log files.
const logMode = 0o644

// ErrStillRunning means that a process did not exit within the timeout.
var ErrStillRunning = errors.New("still running")

// Process is one operating-system process of the system or of its stand-ins. It
// can be started again after it ended.
type Process struct {
	Name    string
	LogPath string
	// Env is added to the environment, as KEY=value.
	Env  []string
	path string
	args []string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// NewProcess returns a process that is not started yet.
func NewProcess(name, logPath, path string, args ...string) *Process {
	return &Process{Name: name, LogPath: logPath, path: path, args: args}
}

// Start starts the process. Its output is appended to its log. The process is
// killed when this one dies.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, logMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if len(p.Env) > 0 {
		cmd.Env = append(os.Environ(), p.Env...)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.ended = make(chan struct{})
	go p.wait(cmd, p.ended)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(ended)
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// PID returns the process id, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to a running process. The error wraps os.ErrProcessDone if it is
// not running.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s: %w", p.Name, os.ErrProcessDone)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig)
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits for its exit. It does nothing if the
// process is not running.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.ended
	return nil
}

// Stop sends SIGTERM and waits for the exit as Wait does.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(timeout)
}

// Wait waits until the process has exited. The error wraps ErrStillRunning after the
// timeout, or is that of an exit code other than 0.
func (p *Process) Wait(timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		return fmt.Errorf("%s did not exit within %v: %w", p.Name, timeout, ErrStillRunning)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s exited: %w", p.Name, p.err)
	}
	return nil
}
