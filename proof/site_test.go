package proof_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const (
	// readyTime bounds the wait for a condition; it is far above the usual time, as machines may be busy.
	readyTime = 40 * time.Second
	// pollTime is the time between two looks at a condition.
	pollTime = 50 * time.Millisecond
	// toolTime bounds one command of an operator.
	toolTime = 30 * time.Second
	// callTime bounds one call of a caller.
	callTime = 40 * time.Second
)

// slots bounds the deployments that run at a time; each has about 20 processes.
var slots = make(chan struct{}, 4)

// place is one line of addresses.txt.
type place struct{ use, name, addr, service, version string }

// site is a running deployment of a small variant of an example.
type site struct {
	*WithT
	t *testing.T
	// decl is the folder of declarations; dir holds settings and logs.
	decl, dir string
	places    []place
	client    *http.Client
	// warmed bounds the dispatches of the calls that warm sent.
	warmed int

	mu    sync.Mutex
	procs map[string]*proc
	order []spec
}

// open starts a deployment. Its end checks that every process stops by SIGTERM.
func open(t *testing.T, example string) *site {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	s := &site{
		WithT: NewWithT(t), t: t, decl: t.TempDir(), dir: t.TempDir(), procs: map[string]*proc{},
		// A kept connection that is lost makes the client send a call again by itself.
		client: &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.copyFiles(filepath.Join("..", "examples", example))
	s.copyFiles(filepath.Join("testdata", example))
	out, err := exec.Command(filepath.Join(binDir, "bench"), "settings", "-examples", s.decl, "-out", s.dir).CombinedOutput()
	s.Expect(err).NotTo(HaveOccurred(), string(out))
	for _, f := range s.table("addresses.txt") {
		s.places = append(s.places, place{f[0], f[1], f[2], f[3], f[4]})
	}
	t.Cleanup(s.close)
	for _, f := range s.table("processes.txt") {
		p := spec{name: f[0], program: f[1]}
		for _, a := range f[2:] {
			if a != "" {
				p.args = append(p.args, a)
			}
		}
		s.order = append(s.order, p)
		s.start(p.name)
	}
	vms, err := os.ReadFile(filepath.Join(s.dir, "vms.json"))
	s.Expect(err).NotTo(HaveOccurred())
	s.post("vms", "/vms", string(vms))
	return s
}

// table reads a file of lines with parts separated by tabs; missing parts are empty.
func (s *site) table(name string) (rows [][]string) {
	b, err := os.ReadFile(filepath.Join(s.dir, name))
	s.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(b)) {
		rows = append(rows, append(strings.Split(strings.TrimSpace(line), "\t"), make([]string, 5)...))
	}
	return rows
}

func (s *site) copyFiles(dir string) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	s.Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		b, err := os.ReadFile(name)
		s.Expect(err).NotTo(HaveOccurred())
		s.declare(filepath.Base(name), string(b))
	}
}

// declare writes a file of the declarations.
func (s *site) declare(name, text string) {
	s.Expect(os.WriteFile(filepath.Join(s.decl, name), []byte(text), 0o600)).To(Succeed())
}

// start starts a process by its name, again or for the first time.
func (s *site) start(name string) {
	for _, p := range s.order {
		if p.name == name {
			started, err := launch(p, s.dir)
			s.Expect(err).NotTo(HaveOccurred())
			s.mu.Lock()
			s.procs[name] = started
			s.mu.Unlock()
		}
	}
}

func (s *site) proc(name string) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[name]
}

// close stops agents and routers first, so that they can end what runs, and then the stand-ins.
func (s *site) close() {
	for _, standin := range []bool{false, true} {
		ended := make(chan error)
		n := 0
		for _, p := range s.procs {
			if (p.program == "standin") == standin {
				n++
				go func() { ended <- p.stop() }()
			}
		}
		for range n {
			if err := <-ended; err != nil && !s.expected(err) {
				s.t.Error(err)
			}
		}
	}
	if s.t.Failed() {
		s.showLogs()
	}
}

// expected reports whether a process was killed by the test itself.
func (s *site) expected(err error) bool {
	var e *exec.ExitError
	return errors.As(err, &e) && strings.Contains(e.Error(), "signal: killed")
}

// logTail bounds the part of each log that a failed test shows, in bytes.
const logTail = 3000

func (s *site) showLogs() {
	for _, p := range s.procs {
		b, _ := os.ReadFile(p.log)
		if p.program != "standin" {
			s.t.Logf("%s:\n%s", p.name, b[max(0, len(b)-logTail):])
		}
	}
}

// addr returns the address of a process for a use: caller, admin, store, vmlist, model or plain.
func (s *site) addr(use, name string) string {
	for _, p := range s.places {
		if p.use == use && p.name == name {
			return p.addr
		}
	}
	return ""
}

// of returns all places with one of the uses.
func (s *site) of(uses ...string) (list []place) {
	for _, p := range s.places {
		for _, u := range uses {
			if p.use == u {
				list = append(list, p)
			}
		}
	}
	return list
}

// standin returns the address of a stand-in by the name of its process.
func (s *site) standin(name string) string {
	for _, p := range s.of("store", "vmlist", "model", "plain") {
		if p.name == name {
			return p.addr
		}
	}
	return ""
}

// post changes a stand-in. It waits for the stand-in to listen.
func (s *site) post(name, path, body string) {
	s.t.Helper()
	s.Eventually(func() error {
		res, err := s.client.Post("http://"+s.standin(name)+path, "application/json", strings.NewReader(body))
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		if res.StatusCode != http.StatusOK {
			return errors.New(res.Status)
		}
		return nil
	}, readyTime, pollTime).Should(Succeed())
}

// read reads a JSON document.
func (s *site) read(addr, path string, v any) error {
	res, err := s.client.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// await waits until a generation is in force at all processes and all are ready.
func (s *site) await(g ident.Generation) {
	s.t.Helper()
	for _, p := range s.of("admin") {
		s.Eventually(func() (st conf.Status, err error) {
			err = s.read(p.addr, conf.StatusPath, &st)
			return st, err
		}, readyTime, pollTime).Should(And(HaveField("Generation", g), HaveField("Ready", true)), p.name)
	}
}

// tool runs a command of an operator and returns all output and the exit code.
func (s *site) tool(args ...string) (out string, code int) {
	s.t.Helper()
	var b bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, "hickoryvane"), args...)
	cmd.Stdout, cmd.Stderr = &b, &b
	s.Expect(cmd.Start()).To(Succeed())
	timer := time.AfterFunc(toolTime, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait() // the exit code tells
	return b.String(), cmd.ProcessState.ExitCode()
}
