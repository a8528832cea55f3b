package direct_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that run when a shutdown ends, and lose their connection without an answer.
func TestRequestsAtEndOfShutdownAreAnswered(t *testing.T) {
	const slots = 4
	x := startTarget(t, "t1", func(int, *http.Request, net.Conn) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	e := startRouter(t, x)
	answers := make(chan answer, slots+1)
	for range slots + 1 {
		go func() { answers <- e.request("POST", "/unsafe/", "x") }()
	}
	e.g.Eventually(x.requests).Should(HaveLen(slots))
	e.stop()
	codes := map[int]int{}
	for range slots + 1 {
		var a answer
		e.g.Eventually(answers, 3*time.Second).Should(Receive(&a))
		e.g.Expect(a.err).NotTo(HaveOccurred())
		if codes[a.code]++; a.code == http.StatusServiceUnavailable {
			e.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
	}
	e.g.Expect(codes).To(Equal(map[int]int{http.StatusBadGateway: slots, http.StatusServiceUnavailable: 1}))
}
