package proof_test

import (
	"bytes"
	"encoding/json"
	"net"
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
	// readyTimeout bounds the wait for a condition. It is far above the usual time because machines may be busy.
	readyTimeout = 40 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// commandTimeout bounds one operator command.
	commandTimeout = 30 * time.Second
	// callTimeout bounds one call of a caller.
	callTimeout = 40 * time.Second
)

// deploymentSlots limits the deployments that run at the same time; each has about 20 processes.
var deploymentSlots = make(chan struct{}, 4)

// endpoint is one line of addresses.txt.
type endpoint struct{ use, name, addr, service, version string }

// deployment is a running deployment of a small variant of an example.
type deployment struct {
	*WithT
	t *testing.T
	// declDir is the folder of declarations; runDir holds settings and logs.
	declDir, runDir string
	endpoints       []endpoint
	client          *http.Client
	// warmUpCalls counts the calls that warmUp sent, an upper bound for the requests that ran because of them.
	warmUpCalls int

	mu    sync.Mutex
	procs map[string]*proc
	specs []procSpec
}

// startDeployment starts a deployment. The test's cleanup checks that every process exits after SIGTERM.
func startDeployment(t *testing.T, example string) *deployment {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	s := &deployment{
		WithT: NewWithT(t), t: t, declDir: t.TempDir(), runDir: t.TempDir(), procs: map[string]*proc{},
		// Without keep-alive, because the client resends a call by itself when a reused connection breaks.
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.copyDeclarations(filepath.Join("..", "examples", example))
	s.copyDeclarations(filepath.Join("testdata", example))
	out, err := exec.Command(filepath.Join(binDir, "bench"), "settings", "-examples", s.declDir, "-out", s.runDir).CombinedOutput()
	s.Expect(err).NotTo(HaveOccurred(), string(out))
	for _, f := range s.readTable("addresses.txt") {
		s.endpoints = append(s.endpoints, endpoint{f[0], f[1], f[2], f[3], f[4]})
	}
	t.Cleanup(s.stopAll)
	for _, f := range s.readTable("processes.txt") {
		p := procSpec{name: f[0], program: f[1]}
		for _, a := range f[2:] {
			if a != "" {
				p.args = append(p.args, a)
			}
		}
		s.specs = append(s.specs, p)
		s.start(p.name)
	}
	vms, err := os.ReadFile(filepath.Join(s.runDir, "vms.json"))
	s.Expect(err).NotTo(HaveOccurred())
	s.postStandin("vms", "/vms", string(vms))
	s.awaitStore()
	return s
}

// awaitStore waits until the object API accepts connections, as the operator's tool tells of each call that fails.
func (s *deployment) awaitStore() {
	for _, p := range s.endpointsFor("store") {
		s.Eventually(func() error {
			c, err := net.Dial("tcp", p.addr)
			if err == nil {
				_ = c.Close()
			}
			return err
		}, readyTimeout, pollInterval).Should(Succeed())
	}
}

// readTable reads a file of tab-separated lines. Missing fields are empty.
func (s *deployment) readTable(name string) (rows [][]string) {
	b, err := os.ReadFile(filepath.Join(s.runDir, name))
	s.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(b)) {
		rows = append(rows, append(strings.Split(strings.TrimSpace(line), "\t"), make([]string, 5)...))
	}
	return rows
}

func (s *deployment) copyDeclarations(dir string) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	s.Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		b, err := os.ReadFile(name)
		s.Expect(err).NotTo(HaveOccurred())
		s.writeDeclaration(filepath.Base(name), string(b))
	}
}

// writeDeclaration writes a declaration file.
func (s *deployment) writeDeclaration(name, text string) {
	s.Expect(os.WriteFile(filepath.Join(s.declDir, name), []byte(text), 0o600)).To(Succeed())
}

// start starts or restarts a process by its name.
func (s *deployment) start(name string) {
	for _, p := range s.specs {
		if p.name == name {
			started, err := launch(p, s.runDir)
			s.Expect(err).NotTo(HaveOccurred())
			s.mu.Lock()
			s.procs[name] = started
			s.mu.Unlock()
		}
	}
}

func (s *deployment) proc(name string) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[name]
}

// stopAll stops agents and routers first, so that they can finish running requests, and then the stand-ins.
func (s *deployment) stopAll() {
	for _, standins := range []bool{false, true} {
		ended := make(chan error)
		n := 0
		for _, p := range s.procs {
			if (p.program == "standin") == standins {
				n++
				go func() { ended <- p.stop() }()
			}
		}
		for range n {
			if err := <-ended; err != nil && !s.killedByTest(err) {
				s.t.Error(err)
			}
		}
	}
	if s.t.Failed() {
		s.showLogs()
	}
}

// killedByTest reports whether a process ended because the test killed it.
func (s *deployment) killedByTest(err error) bool {
	var e *exec.ExitError
	return errors.As(err, &e) && strings.Contains(e.Error(), "signal: killed")
}

// logTailBytes is the size of the end of each log that a failed test prints.
const logTailBytes = 3000

func (s *deployment) showLogs() {
	for _, p := range s.procs {
		b, _ := os.ReadFile(p.log)
		if p.program != "standin" {
			s.t.Logf("%s:\n%s", p.name, b[max(0, len(b)-logTailBytes):])
			for line := range strings.Lines(string(b)) {
				if strings.Contains(line, " event=602 ") {
					s.t.Logf("verdict at %s: %s", p.name, line)
				}
			}
		}
	}
}

// addr returns the address of a process for a use: caller, admin, store, vmlist, model or plain.
func (s *deployment) addr(use, name string) string {
	for _, p := range s.endpoints {
		if p.use == use && p.name == name {
			return p.addr
		}
	}
	return ""
}

// endpointsFor returns all endpoints with one of the uses.
func (s *deployment) endpointsFor(uses ...string) (list []endpoint) {
	for _, p := range s.endpoints {
		for _, u := range uses {
			if p.use == u {
				list = append(list, p)
			}
		}
	}
	return list
}

// standinAddr returns the address of a stand-in by its process name.
func (s *deployment) standinAddr(name string) string {
	for _, p := range s.endpointsFor("store", "vmlist", "model", "plain") {
		if p.name == name {
			return p.addr
		}
	}
	return ""
}

// postStandin posts a change to a stand-in and retries until the stand-in listens.
func (s *deployment) postStandin(name, path, body string) {
	s.t.Helper()
	s.Eventually(func() error {
		res, err := s.client.Post("http://"+s.standinAddr(name)+path, "application/json", strings.NewReader(body))
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		if res.StatusCode != http.StatusOK {
			return errors.New(res.Status)
		}
		return nil
	}, readyTimeout, pollInterval).Should(Succeed())
}

// readJSON gets and decodes a JSON document.
func (s *deployment) readJSON(addr, path string, v any) error {
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

// awaitGeneration waits until all processes have applied generation g and are ready.
func (s *deployment) awaitGeneration(g ident.Generation) {
	s.t.Helper()
	for _, p := range s.endpointsFor("admin") {
		s.Eventually(func() (st conf.Status, err error) {
			err = s.readJSON(p.addr, conf.StatusPath, &st)
			return st, err
		}, readyTimeout, pollInterval).Should(And(HaveField("Generation", g), HaveField("Ready", true)), p.name)
	}
}

// operatorCommand runs the operator's program and returns its standard output and error, and the exit code.
func (s *deployment) operatorCommand(args ...string) (out string, code int) {
	s.t.Helper()
	var b bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, "hickoryvane"), args...)
	cmd.Stdout, cmd.Stderr = &b, &b
	s.Expect(cmd.Start()).To(Succeed())
	timer := time.AfterFunc(commandTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait() // the exit code is checked instead
	return b.String(), cmd.ProcessState.ExitCode()
}
