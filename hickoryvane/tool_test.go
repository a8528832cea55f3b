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

// process is a daemon that takes configurations from /wire and serves /status.
type process struct {
	generation atomic.Uint64
	rollouts   []conf.RolloutStatus
	// deaf is true for a process that ignores what it is sent.
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

// bed is a deployment with one folder of declarations.
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
	b := &deployment{GomegaWithT: NewWithT(t), ctx: ctx, dir: t.TempDir(), settingsPath: filepath.Join(t.TempDir(), "operator.json"), store: memory.New()}
	var addrs []string
	for _, p := range processes {
		addrs = append(addrs, strconv.Quote(p.start(ctx, t)))
	}
	b.write(b.settingsPath, `{"deployment": "demo", "secret": "`+secret+`", "store": "127.0.0.1:1", "processes": [`+strings.Join(addrs, ",")+`]}`)
	b.write(filepath.Join(b.dir, "a.json"), `{"deployment": "demo",
		"regions": [{"name": "west", "centres": ["w-a"]}],
		"tiers": [{"name": "high", "rank": 0}],
		"accounts": [{"name": "north", "keys": ["`+ident.HashKey("k")+`"], "tier": "high", "tiers": ["high"]}],
		"services": [{"name": "llm", "kind": "model", "versions": ["v1", "v2"], "current": "v1",
			"routes": [{"name": "chat", "method": "POST", "path": "/v1/chat/completions"}]}],
		"targets": [{"name": "m1", "vm": "vm1", "centre": "w-a", "service": "llm", "version": "v1", "class": "big"},
			{"name": "m2", "vm": "vm2", "centre": "w-a", "service": "llm", "version": "v2", "class": "big"}]}`)
	return b
}

func (b *deployment) write(name, text string) {
	b.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
}

// run runs one command line and checks its exit code.
func (b *deployment) run(code int, args ...string) string {
	var out bytes.Buffer
	t := newTool(&out, &out)
	t.openStore = func(string) store.Store { return b.store }
	b.Expect(t.run(b.ctx, args)).To(Equal(code), out.String())
	return out.String()
}

func (b *deployment) apply(code int, args ...string) string {
	return b.run(code, append(append([]string{"apply", "--settings", b.settingsPath}, args...), b.dir)...)
}

// Guards against an apply that is not pushed, is written twice, or overwrites what another operator did.
func TestApplyPushesAndShowReportsConfiguration(t *testing.T) {
	p, q := &process{}, &process{}
	b := newDeployment(t, p, q)
	b.store.LoseReplies(1)
	b.Expect(b.apply(0)).To(ContainSubstring("accepted as generation 1\nin force at 2 of 2 processes"))
	b.Expect(b.apply(0)).To(ContainSubstring("unchanged as generation 1"))
	b.write(filepath.Join(b.dir, "b.json"), `{"limits": {"claims": 7}}`)
	b.Expect(b.apply(1, "--expect", "0")).To(ContainSubstring("conflict with generation 1, which differs: limits.claims changed from 7 to 100"))
	b.Expect(b.apply(0, "--expect", "1")).To(ContainSubstring("limits.claims changed from 100 to 7\naccepted as generation 2"))
	b.Expect(b.run(0, "show", "-s", b.settingsPath)).To(And(ContainSubstring("demo: generation 2 is accepted"), ContainSubstring("r1       router  w-a     2           true")))
	b.store.SetOutage(true)
	b.Expect(b.run(0, "show", "-s", b.settingsPath)).To(ContainSubstring("accepted generation is unknown"))
}

// Guards against faults that are applied, or reported with another exit code than 2.
func TestProblemsExitWithTwo(t *testing.T) {
	b := newDeployment(t, &process{})
	b.Expect(b.run(0, "check", b.dir)).To(ContainSubstring("demo: no faults; 1 accounts"))
	b.write(filepath.Join(b.dir, "b.json"), "{\n\"tires\": 1, \"tiers\": 2}")
	b.Expect(b.run(2, "check", b.dir)).To(And(ContainSubstring("b.json:2: tires: is not a known key\n"), ContainSubstring("tiers: must be a list")))
	b.apply(2)
	_, err := b.store.Get(b.ctx, conf.ConfigKind, conf.ConfigName)
	b.Expect(err).To(MatchError(store.ErrNotFound))
	for _, args := range [][]string{{}, {"check"}, {"paint"}, {"show", "x"}, {"apply", "--colour", "x"}, {"show", "-s", b.dir + "/none"}} {
		b.run(2, args...)
	}
	b.run(0, "version")
	b.run(0, "check", "--help")
	b.run(1, "replay", "trace")
}

// Guards against a removal of a running move, and against ends in the object API that are not shown.
func TestRunningRolloutStaysAndRecordedConclusionIsShown(t *testing.T) {
	up := conf.RolloutStatus{Name: "up", Service: "llm", From: "v1", To: "v2", State: conf.Running, Share: 0.25}
	b := newDeployment(t, &process{rollouts: []conf.RolloutStatus{up}})
	file := filepath.Join(b.dir, "moves.json")
	b.write(file, `{"moves": [{"name": "up", "service": "llm", "from": "v1", "to": "v2", "deadline": "2099-01-01T00:00:00Z"}]}`)
	b.apply(0)
	b.Expect(b.run(0, "moves", "-s", b.settingsPath)).To(MatchRegexp(`up +llm +v1 +v2 +running +25% +false`))
	b.write(file, `{}`)
	b.Expect(b.apply(2)).To(ContainSubstring("moves[up]: is removed while the move runs"))
	end := moves.Conclusion{Rollout: "up", Service: "llm", State: moves.RolledBack, Reason: moves.ReasonFailures}
	_, err := b.store.Create(b.ctx, store.Object{Kind: moves.ObjectKind, Name: "up", Value: end.Encode()})
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(b.run(0, "moves", "-s", b.settingsPath)).To(MatchRegexp(`up +llm +v1 +v2 +taken back +25% +true +- +- +failures`))
	b.apply(0)
}

// Guards against a process without the configuration that is counted as having it.
func TestProcessWithoutConfigurationIsReported(t *testing.T) {
	b := newDeployment(t, &process{ignoresMessages: true})
	var out bytes.Buffer
	tl := newTool(&out, &out)
	tl.openStore = func(string) store.Store { return b.store }
	tl.inForceTimeout /= 20
	b.Expect(tl.run(b.ctx, []string{"apply", "-s", b.settingsPath, b.dir})).To(Equal(exitFailed))
	b.Expect(out.String()).To(ContainSubstring("in force at 0 of 1 processes"))
}
