package host_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/standin/host"
)

func serve(t *testing.T) (h *host.Host, get func() error, stop context.CancelFunc, ended chan error) {
	g := NewWithT(t)
	h, err := host.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	ended = make(chan error, 1)
	go func() {
		ended <- h.Serve(ctx, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}()
	get = func() error {
		res, err := http.Get("http://" + h.Addr())
		if err == nil {
			err = res.Body.Close()
		}
		return err
	}
	g.Eventually(get).Should(Succeed())
	return h, get, stop, ended
}

// Guards against a crash that callers do not notice, one after which the host never listens again, and a regular
// shutdown that returns an error.
func TestCrashRefusesConnectionsAndEnds(t *testing.T) {
	g := NewWithT(t)
	h, get, stop, ended := serve(t)
	h.Crash(0, false)
	g.Eventually(get).Should(Succeed())
	crashAndGet := func() error { // a crash is ignored while the first one is still in progress
		h.Crash(time.Hour, false)
		return get()
	}
	g.Eventually(crashAndGet).Should(MatchError(ContainSubstring("connection refused")))
	stop()
	g.Expect(<-ended).To(Succeed())
}

// Guards against a process that continues after a crash that should end it.
func TestCrashWithExitEndsServing(t *testing.T) {
	g := NewWithT(t)
	h, _, stop, ended := serve(t)
	defer stop()
	h.Crash(0, true)
	g.Expect(<-ended).To(MatchError(host.ErrExit))
}
