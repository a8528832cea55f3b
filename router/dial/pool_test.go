package dial_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/router/dial"
)

func keepAlive(v string) http.Header { return http.Header{"Keep-Alive": {v}} }

// listen returns the address of a target that accepts connections and leaves them open.
func listen(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func get(t *testing.T, p *dial.Pool, addr string, maxIdle time.Duration) *dial.Conn {
	k, err := p.Get(t.Context(), addr, maxIdle)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = k.Close() })
	return k
}

// Guards against a connection that stays idle until its target closes it under a request, and against one that is
// closed although its target would keep it.
func TestRestTimeFollowsTheTarget(t *testing.T) {
	g := NewWithT(t)
	for v, want := range map[string]time.Duration{
		"timeout=5": 4700 * time.Millisecond, "max=100, Timeout = 2": 1700 * time.Millisecond, `timeout="1"`: 700 * time.Millisecond,
		"timeout=0": 0, "timeout=100000": dial.MaxRest, "max=100": 900 * time.Millisecond, "timeout=-1": 900 * time.Millisecond, "timeout=1.5": 900 * time.Millisecond,
	} {
		g.Expect(dial.RestTime(keepAlive(v))).To(Equal(want), v)
	}
	g.Expect(dial.RestTime(nil)).To(Equal(900 * time.Millisecond))
	p, addr := dial.New(), listen(t)
	p.Put(get(t, p, addr, 0), keepAlive("timeout=5"))
	now := time.Now()
	p.CloseExpired(now.Add(4600 * time.Millisecond))
	g.Expect(p.Idle(now, addr, dial.MaxRest)).To(BeTrue())
	g.Expect(p.Idle(now.Add(4800*time.Millisecond), addr, dial.MaxRest)).To(BeFalse())
	p.CloseExpired(now.Add(4800 * time.Millisecond))
	g.Expect(p.Idle(now, addr, dial.MaxRest)).To(BeFalse())
}

// Guards against a request that may run only once on a connection that was idle for too long, and against closing that
// connection, which others may use.
func TestLongIdleConnectionIsLeftToOtherRequests(t *testing.T) {
	g := NewWithT(t)
	p, addr := dial.New(), listen(t)
	rested := get(t, p, addr, 0)
	p.Put(rested, keepAlive("timeout=60"))
	time.Sleep(time.Millisecond)
	g.Expect(get(t, p, addr, time.Microsecond)).NotTo(BeIdenticalTo(rested))
	g.Expect(get(t, p, addr, 0)).NotTo(BeIdenticalTo(rested), "a second send to the address")
	again := get(t, p, addr, dial.MaxRest)
	g.Expect(again).To(BeIdenticalTo(rested))
	g.Expect(again.Reused).To(BeTrue())
}

// Guards against routers that together hold more idle connections than their target accepts, and against one that is
// kept after its target has terminated.
func TestIdleConnectionsAreLimited(t *testing.T) {
	g := NewWithT(t)
	p, addr := dial.New(), listen(t)
	a, b, c := get(t, p, addr, 0), get(t, p, addr, 0), get(t, p, addr, 0)
	p.Put(a, keepAlive("timeout=60"))
	p.Put(b, keepAlive("timeout=60"))
	p.SetIdleMax(map[string]int{addr: 1})
	p.CloseExpired(time.Now())
	p.Put(c, keepAlive("timeout=60"))
	g.Expect(get(t, p, addr, dial.MaxRest)).To(BeIdenticalTo(c), "the newest one remains")
	g.Expect(p.Idle(time.Now(), addr, dial.MaxRest)).To(BeFalse())
	p.Put(c, keepAlive("timeout=60"))
	p.Discard(addr)
	g.Expect(p.Idle(time.Now(), addr, dial.MaxRest)).To(BeFalse())
	p.SetIdleMax(map[string]int{addr: 0})
	p.Put(get(t, p, addr, 0), keepAlive("timeout=60"))
	g.Expect(p.Idle(time.Now(), addr, dial.MaxRest)).To(BeFalse(), "none may rest")
}
