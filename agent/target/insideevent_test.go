package target_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
)

// Guards against a stream of a plain service that ends inside an event and counts as complete, or as the crash of the
// service.
func TestStreamOfAServiceThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for body, complete := range map[string]bool{"data: a\n\n": true, "data: a\n\ndata: b": false, "data: a\n\ndata: b\n": false} {
		g := NewWithT(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, body)
		}))
		got := ""
		p := target.NewPlain(strings.TrimPrefix(srv.URL, "http://"))
		out := p.Run(t.Context(), target.Request{ID: "r", Method: "POST", Path: "/"}, func(p target.Part) { got += string(p.Data) })
		srv.Close()
		g.Expect(out.Complete).To(Equal(complete), body)
		g.Expect(out.ConnectionLost).To(BeFalse(), body)
		g.Expect(got).To(Equal(body))
	}
}
