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

// second starts another router whose store is away.
func startSecondRouter(t *testing.T, w *env) *env {
	g := NewWithT(t)
	v := &env{g: g, store: memory.New(), cfg: w.cfg, done: make(chan error, 1), log: &safeBuffer{}}
	v.store.SetOutage(true)
	v.cfg.Listen, v.cfg.Ready, v.cfg.Admin, v.cfg.Heartbeat = freeAddr(g), freeAddr(g), freeAddr(g), freeAddr(g)
	v.cfg.Name = ident.ProcessID("r2-" + strings.TrimPrefix(v.cfg.Heartbeat, "127.0.0.1:"))
	m, err := meter.New()
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	r := direct.New(v.cfg, v.store, catalogue{}, dialect{}, event.New(v.log, log.InfoLevel), m)
	go func() { v.done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Eventually(v.done, 6*time.Second).Should(Receive(BeNil()))
	})
	g.Eventually(v.log.String).Should(ContainSubstring("process started"))
	time.Sleep(100 * time.Millisecond)
	return v
}

// introduce registers another router in the store of w, as it did itself before an outage.
func (w *env) registerRouter(v *env) {
	w.putObject(direct.RouterKind, string(v.cfg.Name), struct {
		Address string `json:"address"`
	}{v.cfg.Heartbeat})
}
