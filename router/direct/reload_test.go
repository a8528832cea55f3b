package direct_test

import (
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/router/direct"
)

// Guards against a router that forgets its retries when its settings are read again, so that each SIGHUP allows the whole
// budget once more.
func TestReloadKeepsTheRetryBudget(t *testing.T) {
	e := newEnv(t)
	m, err := meter.New()
	e.g.Expect(err).NotTo(HaveOccurred())
	r := direct.New(e.cfg, e.store, catalogue{}, dialect{}, event.New(e.log, log.InfoLevel), m)
	allowed := 0
	for range 6 {
		for range 30 {
			if r.AllowRetry("s") {
				allowed++
			}
		}
		r.Reload(e.cfg)
	}
	e.g.Expect(allowed).To(BeNumerically("<=", 16), "four fifths of 20 for this router")
	cfg := e.cfg
	cfg.ExtraRetries = 40
	r.Reload(cfg)
	for range 60 {
		if r.AllowRetry("s") {
			allowed++
		}
	}
	e.g.Expect(allowed).To(Equal(32), "the new limit applies")
}
