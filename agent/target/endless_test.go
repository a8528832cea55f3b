package target_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
)

// endlessMax bounds what an engine can send in answer to a check: the limit of the agent, and what the sockets hold.
const endlessMax = 32 << 20

// endlessEngine answers each request with head and then bytes without end. It counts what it could send.
func endlessEngine(t *testing.T, head string) (addr string, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		sendEndless(c, head, sent)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), sent
}

func sendEndless(c net.Conn, head string, sent *atomic.Int64) {
	_, err := c.Write([]byte(head))
	for block := []byte(strings.Repeat("a", 1<<20)); err == nil && sent.Load() < 8*endlessMax; {
		var n int
		n, err = c.Write(block)
		sent.Add(int64(n))
	}
}

// Guards against an engine that answers a check without end, in its head or its body, and takes the agent's memory.
func TestEndlessAnswersToChecksAreCut(t *testing.T) {
	for name, head := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-Long: ",
		"body": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n\"",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr, sent := endlessEngine(t, head)
			e := target.NewEngine(addr)
			_, err := e.Load(t.Context())
			g.Expect(err).To(HaveOccurred())
			_, err = e.ReadCache(t.Context())
			g.Expect(err).To(HaveOccurred())
			g.Expect(sent.Load()).To(BeNumerically("<", 2*endlessMax))
		})
	}
}
