package drill

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Proc is one daemon of the fleet.
type Proc struct {
	Name, Zone string
	Addr       string // between processes
	Client     string // routers only
	Runner     string // routers only
	Operator   string
	prog       string
	args, more []string
	log        string
	mu         sync.Mutex
	cmd        *exec.Cmd
	gone       chan struct{}
}

// Start begins a process.
func (p *Proc) Start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.prog, p.args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = out, out, append(os.Environ(), p.more...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "drill: start %s", p.Name)
	}
	gone := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.gone = cmd, gone
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // daemons are killed on purpose: how one ended is no error
		close(gone)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig) // it may have ended meanwhile
	}
}

// Kill ends the process at once and waits until it is gone.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(10 * time.Second)
}

// Wait waits for the process to end.
func (p *Proc) Wait(d time.Duration) bool {
	p.mu.Lock()
	gone := p.gone
	p.mu.Unlock()
	if gone == nil {
		return true
	}
	select {
	case <-gone:
		return true
	case <-time.After(d):
		return false
	}
}
