package direct_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/store/memory"
	"hickoryvane.example/router/direct"
)

// startSecondRouter starts another router, whose store is unreachable.
func startSecondRouter(t *testing.T, e *env) *env {
	g := NewWithT(t)
	other := &env{g: g, store: memory.New(), cfg: e.cfg, done: make(chan error, 1), log: &safeBuffer{}}
	other.store.SetOutage(true)
	other.cfg.Listen, other.cfg.Ready, other.cfg.Admin, other.cfg.Heartbeat = freeAddr(g), freeAddr(g), freeAddr(g), freeAddr(g)
	other.cfg.Name = ident.ProcessID("r2-" + strings.TrimPrefix(other.cfg.Heartbeat, "127.0.0.1:"))
	m, err := meter.New()
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	r := direct.New(other.cfg, other.store, catalogue{}, dialect{}, event.New(other.log, log.InfoLevel), m)
	go func() { other.done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Eventually(other.done, 6*time.Second).Should(Receive(BeNil()))
	})
	g.Eventually(other.log.String).Should(ContainSubstring("process started"))
	time.Sleep(100 * time.Millisecond)
	return other
}

// registerRouter registers another router in the store of e, as that router would have before an outage.
func (e *env) registerRouter(other *env) {
	e.putObject(direct.RouterKind, string(other.cfg.Name), struct {
		Address string `json:"address"`
	}{other.cfg.Heartbeat})
}
