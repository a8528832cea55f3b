package vmlist_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/vmlist"
)

// Guards against one unreadable entry that hides the other VMs.
func TestOddEntryHidesNoOther(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{
		"7", "null", "[]", deep, `{"vm":7}`, `{"vm":"x","address":"10.0.0.1:0","state":"live"}`, `{"vm":"x","address":"10.0.0.1:65536"}`,
		`{"vm":"x","address":"10.0.0.1:80","state":1e400}`, `{"vm":"x","address":"10.0.0.1:80","more":` + deep + `}`, `{"address":"10.0.0.1:80"}`, `{"vm":"x","address":"name:80"}`, "nonsense",
	} {
		g := NewWithT(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "["+odd+`,{"vm":"a","address":"10.0.0.2:80","state":"live"}]`)
		}))
		t.Cleanup(srv.Close)
		vms, err := vmlist.NewHTTP(strings.TrimPrefix(srv.URL, "http://")).List(t.Context())
		g.Expect(err).NotTo(HaveOccurred(), "%.80s", odd)
		g.Expect(vms).To(HaveLen(1), "%.80s", odd)
	}
}
