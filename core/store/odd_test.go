package store_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/store"
)

// oddItems are items that another writer left.
func oddItems() map[string]string {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	return map[string]string{
		"number": "7", "null": "null", "nested": deep, "no metadata": `{"spec":{"value":"AAAA"}}`, "name number": `{"metadata":{"name":7,"resourceVersion":"3"},"spec":{"value":"AAAA"}}`,
		"nested spec": `{"metadata":{"name":"odd","resourceVersion":"3"},"spec":` + deep + `}`, "value no base64": `{"metadata":{"name":"odd","resourceVersion":"3"},"spec":{"value":"%"}}`,
		"version number": `{"metadata":{"name":"odd","resourceVersion":1e400},"spec":{"value":"AAAA"}}`, "not JSON": `{"metadata":{"name":"odd","resourceVersion":"3"},"spec":{"value":nonsense}}`,
	}
}

const soundItem = `{"metadata":{"name":"a","resourceVersion":"2"},"spec":{"value":"AQ=="}}`

func serve(t *testing.T, body string) *store.HTTP {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	t.Cleanup(srv.Close)
	return store.NewHTTP(strings.TrimPrefix(srv.URL, "http://"))
}

// Guards against one unreadable object that hides the others of its kind.
func TestOddObjectHidesNoOther(t *testing.T) {
	for name, odd := range oddItems() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, `{"metadata":{"resourceVersion":"9"},"items":[`+odd+`,`+soundItem+`]}`)
			all, rev, err := s.List(t.Context(), "x")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rev).To(BeEquivalentTo("9"))
			g.Expect(all).To(HaveLen(2))
			g.Expect(all[0].Value).To(BeEmpty())
			g.Expect(all[1].Name).To(Equal("a"))
			g.Expect(all[1].Value).To(Equal([]byte{1}))
		})
	}
}

// Guards against an unreadable change that ends a watch although its object is named, or that is lost although it is
// not.
func TestOddChangeHidesNoOther(t *testing.T) {
	for name, odd := range oddItems() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, fmt.Sprintf(`{"type":"ADDED","object":%s}`+"\n"+`{"type":"ADDED","object":%s}`+"\n", odd, soundItem))
			var seen []string
			err := s.Watch(t.Context(), "x", "1", func(c store.Change) { seen = append(seen, c.Object.Name) })
			if seen[0] == "odd" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(seen).To(Equal([]string{"odd", "a"}))
				return
			}
			g.Expect(err).To(MatchError(store.ErrUnreadable))
			g.Expect(seen).To(Equal([]string{""}))
		})
	}
}
