package proof_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// binDir holds the programs that "make build" puts there.
	binDir = "../bin"
	// stopTime bounds a graceful shutdown; an agent keeps unread answers for at most 10 s.
	stopTimeout = 20 * time.Second
)

// spec is one line of processes.txt.
type procSpec struct {
	name, program string
	args          []string
}

// proc is a started process. Its output goes to a file, which is shown when a test fails.
type proc struct {
	procSpec
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error
}

// launch starts a process. The caller stops it.
func launch(s procSpec, dir string) (p *proc, err error) {
	p = &proc{procSpec: s, log: filepath.Join(dir, s.name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(binDir, s.program), s.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel ends the process when the test binary dies, so that none is left behind. A group of its own
	// keeps the kernel from sending SIGHUP to a stopped process when the shell that began the tests ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err = p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
	}()
	return p, nil
}

// signal sends a signal; a process that has ended ignores it.
func (p *proc) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// stop ends the process by SIGTERM and returns an error unless it exits with 0 in time.
func (p *proc) stop() error {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return errors.WithMessage(p.err, p.name)
	case <-time.After(stopTimeout):
		p.kill()
		return errors.Errorf("%s: still running %v after SIGTERM", p.name, stopTimeout)
	}
}

// kill ends the process at once.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
