package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/cells"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/wire"
)

// Guards against a router of a large deployment that uses the targets of other cells, whose routers do not report
// to it what they run there.
func TestRouterUsesOnlyTargetsOfItsCell(t *testing.T) {
	const targets, others = 40, 59
	var list []*scriptedTarget
	for i := range targets {
		list = append(list, startTarget(t, fmt.Sprint("t", i), func(_ int, r *http.Request, c net.Conn) bool {
			time.Sleep(30 * time.Millisecond)
			return writeAnswer(c, r, 200, "ok")
		}))
	}
	e := startRouter(t, list...)
	e.putObject("config", "main", config{Generation: 2, Routes: routes(), Accounts: []route.Account{{Name: "a", Keys: []string{"key"}, Rate: 10, Burst: 1000}}})
	all := []ident.ProcessID{e.cfg.Name}
	for i := range others {
		all = append(all, ident.ProcessID(fmt.Sprint("o", i)))
	}
	own := cells.Assign(all)[e.cfg.Name]
	e.g.Expect(own.Count).To(Equal(2))
	c, err := net.Dial("udp4", e.cfg.Heartbeat)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	sendHeartbeats := func(seq ident.Seq) {
		for _, id := range all[1:] {
			b, err := wire.Encode(&wire.Heartbeat{Process: id, Boot: 1, Seq: seq, Region: "a", Generation: 1, Ready: true, StoreReachable: true})
			e.g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write(b)
			e.g.Expect(err).NotTo(HaveOccurred())
		}
	}
	sendHeartbeats(1)
	e.g.Eventually(e.log.String, 3*time.Second).Should(ContainSubstring("cells=2"))
	before := map[string]int{}
	for _, x := range list {
		before[x.id] = len(x.requests())
	}
	sendHeartbeats(2)
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() { e.request("GET", "/safe/", "") })
	}
	wg.Wait()
	used := 0
	for _, x := range list {
		n := len(x.requests()) - before[x.id]
		if !own.Contains(ident.TargetID(x.id), targets) {
			e.g.Expect(n).To(BeZero(), x.id)
		} else if n > 0 {
			used++
		}
	}
	e.g.Expect(used).To(BeNumerically(">", 5))
	// Each of the two cells has half of the account's limit.
	e.request("GET", "/safe/", "", "X-Key", "key", "X-Tokens", "1")
	at := strings.LastIndex(e.log.String(), "tokens=1 level=")
	e.g.Expect(at).To(BeNumerically(">", 0))
	var level int
	_, err = fmt.Sscanf(e.log.String()[at:], "tokens=1 level=%d", &level)
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(level).To(BeNumerically("<=", 500))
}
