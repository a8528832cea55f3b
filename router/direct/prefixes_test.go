package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against parts of prompts of which another router is not told that a target holds them, and against estimates
// where the setting is off.
func TestOtherRoutersLearnWhatTargetsHold(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "x") })
	e := newEnv(t)
	e.cfg.Prefix = true
	e.registerTarget(x, false)
	e.runRouter(t, e.store)
	other := startSecondRouter(t, e)
	e.registerRouter(other)
	parts := func(n int) []string { return []string{"X-Tokens", "150", "X-Parts", fmt.Sprint("p", n)} }
	for n := range 10 {
		e.g.Expect(e.request("POST", "/safe/", "x", parts(n)...).code).To(Equal(200))
	}
	e.g.Expect(e.log.String()).NotTo(ContainSubstring("held=100"))
	e.g.Expect(e.request("POST", "/safe/", "x", parts(0)...).code).To(Equal(200))
	e.g.Expect(e.log.String()).To(ContainSubstring("held=100"))
	other.awaitReady()
	n := 0
	e.g.Eventually(func() string { // the other router sends each part once, ten steps after this one
		e.request("POST", "/safe/", "x", parts(n+10)...)
		other.request("POST", "/safe/", "x", parts(n)...)
		n++
		return other.log.String()
	}, 10*time.Second, 100*time.Millisecond).Should(ContainSubstring("held=100"))
}
