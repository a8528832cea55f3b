package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
	"hickoryvane.example/core/wire"
)

const secret = "0123456789abcdef"

// process is a fake process that receives configurations at /wire and serves /status.
type process struct {
	generation atomic.Uint64
	rollouts   []conf.RolloutStatus
	// ignoresMessages is true for a process that discards all messages it receives.
	ignoresMessages bool
}

func (p *process) start(ctx context.Context, t *testing.T) (addr string) {
	mux := http.NewServeMux()
	mux.HandleFunc(conf.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(conf.Status{
			Process: "r1", Role: "router", Centre: "w-a", Ready: true,
			Generation: ident.Generation(p.generation.Load()), Rollouts: p.rollouts,
		})
	})
	mux.HandleFunc(wire.Path, func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept(ctx, w, r, wire.Auth{Deployment: "demo", Key: []byte(secret)}, wire.Hello{Process: "r1"}, nil)
		if err != nil {
			return
		}
		for m, err := c.Recv(ctx); err == nil; m, err = c.Recv(ctx) {
			p.receive(m)
		}
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func (p *process) receive(m wire.Message) {
	if f, ok := m.(*wire.Gossip); ok && !p.ignoresMessages {
		cfg, _ := conf.Decode(f.Entries[0].Value)
		p.generation.Store(uint64(cfg.Generation))
	}
}

// deployment is a deployment with one folder of declarations, its fake processes and an in-memory store.
type deployment struct {
	*GomegaWithT
	ctx          context.Context
	dir          string
	settingsPath string
	store        *memory.Store
}

func newDeployment(t *testing.T, processes ...*process) *deployment {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	d := &deployment{GomegaWithT: NewWithT(t), ctx: ctx, dir: t.TempDir(), settingsPath: filepath.Join(t.TempDir(), "operator.json"), store: memory.New()}
	var addrs []string
	for _, p := range processes {
		addrs = append(addrs, strconv.Quote(p.start(ctx, t)))
	}
	d.write(d.settingsPath, `{"deployment": "demo", "secret": "`+secret+`", "store": "127.0.0.1:1", "processes": [`+strings.Join(addrs, ",")+`]}`)
	d.write(filepath.Join(d.dir, "a.json"), `{"deployment": "demo",
		"regions": [{"name": "west", "centres": ["w-a"]}],
		"tiers": [{"name": "high", "rank": 0}],
		"accounts": [{"name": "north", "keys": ["`+ident.HashKey("k")+`"], "tier": "high", "tiers": ["high"]}],
		"services": [{"name": "llm", "kind": "model", "versions": ["v1", "v2"], "current": "v1",
			"routes": [{"name": "chat", "method": "POST", "path": "/v1/chat/completions"}]}],
		"targets": [{"name": "m1", "vm": "vm1", "centre": "w-a", "service": "llm", "version": "v1", "class": "big"},
			{"name": "m2", "vm": "vm2", "centre": "w-a", "service": "llm", "version": "v2", "class": "big"}]}`)
	return d
}

func (d *deployment) write(name, text string) {
	d.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
}

// run runs a command line, checks its exit code and returns its output.
func (d *deployment) run(code int, args ...string) string {
	var out bytes.Buffer
	t := newTool(&out, &out)
	t.openStore = func(string) store.Store { return d.store }
	d.Expect(t.run(d.ctx, args)).To(Equal(code), out.String())
	return out.String()
}

func (d *deployment) apply(code int, args ...string) string {
	return d.run(code, append(append([]string{"apply", "--settings", d.settingsPath}, args...), d.dir)...)
}

// Guards against an apply that does not reach the processes, that creates a second generation when the answer of the
// object API is lost or nothing has changed, or that overwrites the configuration of another operator.
func TestApplyPushesAndShowReportsConfiguration(t *testing.T) {
	p, q := &process{}, &process{}
	d := newDeployment(t, p, q)
	d.store.LoseReplies(1)
	d.Expect(d.apply(0)).To(ContainSubstring("accepted as generation 1\nin force at 2 of 2 processes"))
	d.Expect(d.apply(0)).To(ContainSubstring("unchanged as generation 1"))
	d.write(filepath.Join(d.dir, "b.json"), `{"limits": {"claims": 7}}`)
	d.Expect(d.apply(1, "--expect", "0")).To(ContainSubstring("conflict with generation 1, which differs: limits.claims changed from 7 to 100"))
	d.Expect(d.apply(0, "--expect", "1")).To(ContainSubstring("limits.claims changed from 100 to 7\naccepted as generation 2"))
	d.Expect(d.run(0, "show", "-s", d.settingsPath)).To(And(ContainSubstring("demo: generation 2 is accepted"), ContainSubstring("r1       router  w-a     2           true")))
	d.store.SetOutage(true)
	d.Expect(d.run(0, "show", "-s", d.settingsPath)).To(ContainSubstring("accepted generation is unknown"))
}

// Guards against declarations with problems that are applied, and against problems and usage errors with another exit
// code than 2.
func TestProblemsExitWithTwo(t *testing.T) {
	d := newDeployment(t, &process{})
	d.Expect(d.run(0, "check", d.dir)).To(ContainSubstring("demo: no faults; 1 accounts"))
	d.write(filepath.Join(d.dir, "b.json"), "{\n\"tires\": 1, \"tiers\": 2}")
	d.Expect(d.run(2, "check", d.dir)).To(And(ContainSubstring("b.json:2: tires: is not a known key\n"), ContainSubstring("tiers: must be a list")))
	d.apply(2)
	_, err := d.store.Get(d.ctx, conf.ConfigKind, conf.ConfigName)
	d.Expect(err).To(MatchError(store.ErrNotFound))
	for _, args := range [][]string{{}, {"check"}, {"paint"}, {"show", "x"}, {"apply", "--colour", "x"}, {"show", "-s", d.dir + "/none"}} {
		d.run(2, args...)
	}
	d.run(0, "version")
	d.run(0, "check", "--help")
	d.run(1, "replay", "trace")
}

// Guards against the removal of a running rollout from the declarations, and against recorded conclusions that are
// not shown.
func TestRunningRolloutStaysAndRecordedConclusionIsShown(t *testing.T) {
	up := conf.RolloutStatus{Name: "up", Service: "llm", From: "v1", To: "v2", State: conf.Running, Share: 0.25}
	d := newDeployment(t, &process{rollouts: []conf.RolloutStatus{up}})
	file := filepath.Join(d.dir, "moves.json")
	d.write(file, `{"moves": [{"name": "up", "service": "llm", "from": "v1", "to": "v2", "deadline": "2099-01-01T00:00:00Z"}]}`)
	d.apply(0)
	d.Expect(d.run(0, "moves", "-s", d.settingsPath)).To(MatchRegexp(`up +llm +v1 +v2 +running +25% +false`))
	d.write(file, `{}`)
	d.Expect(d.apply(2)).To(ContainSubstring("moves[up]: is removed while the move runs"))
	end := moves.Conclusion{Rollout: "up", Service: "llm", State: moves.RolledBack, Reason: moves.ReasonFailures}
	_, err := d.store.Create(d.ctx, store.Object{Kind: moves.ObjectKind, Name: "up", Value: end.Encode()})
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(d.run(0, "moves", "-s", d.settingsPath)).To(MatchRegexp(`up +llm +v1 +v2 +taken back +25% +true +- +- +failures`))
	d.apply(0)
}

// Guards against a process that is counted as having the configuration in force although it ignored it.
func TestProcessWithoutConfigurationIsReported(t *testing.T) {
	d := newDeployment(t, &process{ignoresMessages: true})
	var out bytes.Buffer
	tl := newTool(&out, &out)
	tl.openStore = func(string) store.Store { return d.store }
	tl.inForceTimeout /= 20
	d.Expect(tl.run(d.ctx, []string{"apply", "-s", d.settingsPath, d.dir})).To(Equal(exitFailed))
	d.Expect(out.String()).To(ContainSubstring("in force at 0 of 1 processes"))
}
