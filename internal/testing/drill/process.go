package drill

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Proc is a router or core process of the fleet.
type Proc struct {
	Name, Zone     string
	Addr           string // for the other processes
	ClientAddr     string // routers only
	RunnerAddr     string // routers only
	OperatorAddr   string
	binary         string
	args, extraEnv []string
	logPath        string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
}

// Start starts the process. Its output is appended to its log file.
func (p *Proc) Start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = out, out, append(os.Environ(), p.extraEnv...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "drill: start %s", p.Name)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status is no error, as daemons are killed on purpose
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig) // fails if the process has already ended
	}
}

// Kill ends the process at once and waits until it is gone.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(10 * time.Second)
}

// Wait waits up to timeout for the process to end and reports whether it has.
func (p *Proc) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
