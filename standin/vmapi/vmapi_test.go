package vmapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/vmlist"
	"hickoryvane.example/standin/vmapi"
)

var vm = vmlist.VM{Name: "a1", Address: "127.0.0.1:7001", Role: "agent", Centre: "west-a", State: vmlist.Live}

func source(t *testing.T, h http.Handler) vmlist.Source {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return vmlist.NewHTTP(strings.TrimPrefix(srv.URL, "http://"))
}

// Guards against an adapter and a stand-in that disagree, and an outage that looks like an empty list.
func TestListShowsChangesAndOutage(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	a := vmapi.New(0, vm)
	s := source(t, a)
	g.Expect(s.List(ctx)).To(Equal([]vmlist.VM{vm}))
	leaving := vm
	leaving.State = vmlist.Leaving
	a.Change(leaving)
	g.Expect(s.List(ctx)).To(Equal([]vmlist.VM{leaving}))
	leaving.State = vmapi.Removed
	a.Change(leaving)
	g.Expect(s.List(ctx)).To(BeEmpty())

	w := httptest.NewRecorder()
	a.ServeHTTP(w, httptest.NewRequest("POST", "/faults", strings.NewReader(`{"outage":true}`)))
	_, err := s.List(ctx)
	g.Expect(err).To(MatchError(vmlist.ErrUnavailable))
}

// Guards against one bad entry that hides the others or gets new work.
func TestInvalidEntriesAreSkippedOrLeaving(t *testing.T) {
	g := NewWithT(t)
	s := source(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"vm":"x","address":"host:1","state":"live"},{"address":"127.0.0.1:1","state":"live"},
			{"vm":"y","address":"127.0.0.1:1","state":"paused","other":1}]`))
	}))
	g.Expect(s.List(t.Context())).To(Equal([]vmlist.VM{{Name: "y", Address: "127.0.0.1:1", State: vmlist.Leaving}}))
}

// Guards against a list that shows changes at once, which would hide faults of membership.
func TestChangesShowAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := vmapi.New(time.Minute)
		body := func() string {
			w := httptest.NewRecorder()
			a.ServeHTTP(w, httptest.NewRequest("GET", "/vms", nil))
			return w.Body.String()
		}
		a.Change(vm)
		time.Sleep(59 * time.Second)
		g.Expect(body()).To(MatchJSON(`[]`))
		time.Sleep(time.Second)
		g.Expect(body()).To(ContainSubstring(`"vm":"a1"`))
	})
}
