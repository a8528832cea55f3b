package proof_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an empty success for a caller that ends its sending direction while it waits for the answer.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	s := startDeployment(t, "rekkverk")
	out, code := s.operatorCommand("apply", "--settings", s.runDir+"/operator.json", s.declDir)
	s.Expect(code).To(BeZero(), out)
	s.awaitGeneration(1)
	s.warmUp(chatCall("office", "painters-question", "warm", 1, false))
	c := chatCall("painters", "painters-question", "Which primer?", streamTokens, false)
	req, err := http.NewRequest(c.method, "http://router"+c.path, strings.NewReader(c.body))
	s.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer demo-"+c.account)
	conn, err := net.Dial("tcp", s.endpointsFor("caller")[0].addr)
	s.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	s.Expect(req.Write(conn)).To(Succeed())
	s.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return // the connection broke off
	}
	b, err := io.ReadAll(res.Body)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(res.StatusCode == http.StatusOK && len(b) == 0).To(BeFalse(), "status %s, body %q", res.Status, b)
}
