package proof_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// binDir holds the programs built by "make build".
	binDir = "../bin"
	// stopTimeout bounds a graceful shutdown; an agent keeps unread answers for at most 10 s.
	stopTimeout = 20 * time.Second
)

// procSpec is one line of processes.txt.
type procSpec struct {
	name, program string
	args          []string
}

// proc is a started process. Its output goes to a file, which is printed when a test fails.
type proc struct {
	procSpec
	cmd *exec.Cmd
	log string
	// starts is the number of starts that the log showed before this one.
	starts int
	done   chan struct{}
	err    error
}

// launch starts a process. The caller must stop it.
func launch(s procSpec, dir string) (p *proc, err error) {
	p = &proc{procSpec: s, log: filepath.Join(dir, s.name+".log"), done: make(chan struct{})}
	p.starts = p.loggedStarts()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(binDir, s.program), s.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel kills the process when the test binary dies, so that no process leaks. In its own process group, a
	// stopped process gets no SIGHUP from the kernel when the shell that started the tests exits.
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

// signal sends a signal. The error for a process that has already exited is ignored.
func (p *proc) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// loggedStarts returns the number of starts in the log of a router or an agent; the stand-ins log none.
func (p *proc) loggedStarts() int {
	b, _ := os.ReadFile(p.log) // there is no log before the first start
	return strings.Count(string(b), "process started")
}

// awaitStart waits until the process has logged its start or has exited. SIGTERM ends a process that does not handle
// signals yet, with an error.
func (p *proc) awaitStart() {
	for end := time.Now().Add(readyTimeout); p.program != "standin" && p.loggedStarts() == p.starts && time.Now().Before(end); {
		select {
		case <-p.done:
			return
		case <-time.After(pollInterval):
		}
	}
}

// stop sends SIGTERM and returns an error unless the process exits with code 0 within stopTimeout.
func (p *proc) stop() error {
	p.signal(syscall.SIGCONT)
	p.awaitStart()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return errors.WithMessage(p.err, p.name)
	case <-time.After(stopTimeout):
		p.kill()
		return errors.Errorf("%s: still running %v after SIGTERM", p.name, stopTimeout)
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
