package plain_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/standin/plain"
)

// once never sends a call twice by itself. The default client does so for any call with an
// Idempotency-Key whose reused connection is lost.
var noRetryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(url, key string) (*http.Response, error) {
	r, err := http.NewRequest("POST", url, strings.NewReader(`{"job":1}`))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("X-Request-Id", "id-"+key)
	return noRetryClient.Do(r)
}

// Guards against a crash that leaves no trace of the run before it, which would hide a double run.
func TestCrashedRunIsCounted(t *testing.T) {
	g := NewWithT(t)
	s := plain.New(1)
	srv := httptest.NewServer(s)
	defer srv.Close()
	s.SetFaults(plain.Faults{CrashAtRun: 2})
	res, err := post(srv.URL+"/orders/9", "a")
	g.Expect(err).NotTo(HaveOccurred())
	var a plain.Answer
	g.Expect(json.NewDecoder(res.Body).Decode(&a)).To(Succeed())
	g.Expect(res.Body.Close()).To(Succeed())
	g.Expect(a.Key).To(Equal("a"))
	g.Expect(a.Route).To(Equal("POST /orders/9"))
	_, err = post(srv.URL+"/orders/9", "b")
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Runs().ByKey).To(Equal(map[string]int{"a": 1, "b": 1}))
	g.Expect(s.Runs().ByID).To(Equal(map[string]int{"id-a": 1, "id-b": 1}))
}

// Guards against a switch for one route that breaks the others, and a failed run that is not counted.
func TestFailureIsLimitedToRoutePrefix(t *testing.T) {
	g := NewWithT(t)
	s := plain.New(1)
	srv := httptest.NewServer(s)
	defer srv.Close()
	s.SetFaults(plain.Faults{RoutePrefix: "/orders/", FailureRatio: 1})
	for path, code := range map[string]int{"/orders/1": 500, "/jobs/1": 200} {
		res, err := post(srv.URL+path, path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.Body.Close()).To(Succeed())
		g.Expect(res.StatusCode).To(Equal(code))
	}
	g.Expect(s.Runs().ByRoute).To(Equal(map[string]int{"POST /orders/1": 1, "POST /jobs/1": 1}))
}
