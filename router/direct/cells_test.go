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

// Guards against a router of a large deployment that uses the targets of other cells, whose routers do not tell
// it what they have there.
func TestRouterUsesOnlyTargetsOfItsCell(t *testing.T) {
	const targets, others = 40, 59
	var list []*scriptedTarget
	for i := range targets {
		list = append(list, startTarget(t, fmt.Sprint("t", i), func(_ int, r *http.Request, c net.Conn) bool {
			time.Sleep(30 * time.Millisecond)
			return writeAnswer(c, r, 200, "ok")
		}))
	}
	w := startRouter(t, list...)
	w.putObject("config", "main", config{Generation: 2, Routes: routes(), Accounts: []route.Account{{Name: "a", Keys: []string{"key"}, Rate: 10, Burst: 1000}}})
	all := []ident.ProcessID{w.cfg.Name}
	for i := range others {
		all = append(all, ident.ProcessID(fmt.Sprint("o", i)))
	}
	own := cells.Assign(all)[w.cfg.Name]
	w.g.Expect(own.Count).To(Equal(2))
	c, err := net.Dial("udp4", w.cfg.Heartbeat)
	w.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	tell := func(seq ident.Seq) {
		for _, id := range all[1:] {
			b, err := wire.Encode(&wire.Heartbeat{Process: id, Boot: 1, Seq: seq, Region: "a", Generation: 1, Ready: true, StoreReachable: true})
			w.g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write(b)
			w.g.Expect(err).NotTo(HaveOccurred())
		}
	}
	tell(1)
	w.g.Eventually(w.log.String, 3*time.Second).Should(ContainSubstring("cells=2"))
	before := map[string]int{}
	for _, x := range list {
		before[x.id] = len(x.requests())
	}
	tell(2)
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() { w.request("GET", "/safe/", "") })
	}
	wg.Wait()
	used := 0
	for _, x := range list {
		n := len(x.requests()) - before[x.id]
		if !own.Contains(ident.TargetID(x.id), targets) {
			w.g.Expect(n).To(BeZero(), x.id)
		} else if n > 0 {
			used++
		}
	}
	w.g.Expect(used).To(BeNumerically(">", 5))
	// The cell has half of the account's limit.
	w.request("GET", "/safe/", "", "X-Key", "key", "X-Tokens", "1")
	at := strings.LastIndex(w.log.String(), "tokens=1 level=")
	w.g.Expect(at).To(BeNumerically(">", 0))
	var level int
	_, err = fmt.Sscanf(w.log.String()[at:], "tokens=1 level=%d", &level)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(level).To(BeNumerically("<=", 500))
}
