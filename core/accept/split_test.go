package accept_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/budget"
)

// Guards against a header section whose lines are not counted because an empty line before it, which http.Server skips, or
// a folded line that is split between two reads counts as its end.
func TestLinesAfterAnEmptyOneAreCounted(t *testing.T) {
	for name, parts := range map[string][]string{
		"empty line before": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", "\r\n", headerSection(4000) + "\r\n"},
		"folded line":       {"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n ", "\n", headerSection(4000)[len("GET / HTTP/1.1\r\nHost: h\r\n"):] + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ln, _, limits := limited(t)
			c := connect(t, ln)
			br := bufio.NewReader(c)
			for _, part := range parts {
				_, _ = io.WriteString(c, part) // the server may have closed the connection
				if strings.HasPrefix(part, "POST") {
					res, err := http.ReadResponse(br, nil)
					g.Expect(err).NotTo(HaveOccurred())
					_, _ = io.Copy(io.Discard, res.Body)
				}
				time.Sleep(20 * time.Millisecond) // one read of the server for each part
			}
			g.Eventually(limits, 5*time.Second).Should(Receive(Equal(accept.HeaderBytes)))
		})
	}
}

// Guards against a complete answer that is cut off because its caller begins to read it only after the handler has ended.
func TestWholeAnswerReachesASlowReader(t *testing.T) {
	g := NewWithT(t)
	ln, ended := serveStreams(t, budget.New(256<<20, 0), make(chan accept.Limit, 10))
	c := connect(t, ln)
	_, _ = io.WriteString(c, strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	g.Eventually(ended, "5s").Should(Receive(Equal(writeCount)))
	time.Sleep(1500 * time.Millisecond) // longer than a connection lingers after its last answer
	b, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically(">", writeSize*writeCount))
}
