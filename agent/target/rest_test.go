package target_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
)

// Guards against an error, or another answer than the rest, in a stream that broke off at the engine.
func TestBrokenStreamGoesOnOnlyWithItsRest(t *testing.T) {
	for _, code := range []int{200, 204, 302, 404, 429, 500, 503} {
		for _, contentType := range []string{"text/plain", "text/event-stream", ""} {
			g := NewWithT(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, "data: one\n\n")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.Header()["Content-Type"] = []string{contentType}
				w.WriteHeader(code)
				_, _ = io.WriteString(w, "error")
			}))
			var got []string
			e := target.NewEngine(strings.TrimPrefix(srv.URL, "http://"))
			out := e.Run(t.Context(), target.Request{ID: "r", Method: "POST", Path: "/v1/chat/completions", Data: []byte("{}")}, func(p target.Part) { got = append(got, string(p.Data)) })
			srv.Close()
			g.Expect(out.Complete).To(BeFalse(), fmt.Sprint(code, contentType))
			g.Expect(got).To(Equal([]string{"one"}), fmt.Sprint(code, contentType))
		}
	}
}
