package sse_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/sse"
)

// Guards against a stream that is broken off inside an event and taken for complete, and against a complete one that is
// taken for broken off; in whatever reads it arrives, and however its lines end.
func TestStreamEndsOnlyBetweenEvents(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		stream string
		inside bool
	}{
		{"", false},
		{"data: a\n\n", false},
		{"data: a\r\n\r\n", false},
		{"data: a\r\rdata: b\r\r", false},
		{"data: a\n\n\n\n", false},
		{"data: a\n\n: comment", false},
		{"data: a\n\n: comment\n", false},
		{"data: a\n\nd", true},
		{"data: a\n\nid: 2\nda", true},
		{"data: a\n", true},
		{"data: a\r\n", true},
		{"data: a\r\n\r\n\r\ndata", true},
		{": comment\ndata: a\n", true},
		{"data: a\n: comment", true},
	} {
		e := sse.New(bytes.NewReader([]byte(c.stream)))
		rest, _, err := e.Next()
		for err == nil {
			rest, _, err = e.Next()
		}
		events := sse.FormatOf(http.StatusOK, http.Header{"Content-Type": {"Text/Event-Stream; charset"}})
		g.Expect(e.End(rest, events, true) == sse.ErrInsideEvent).To(Equal(c.inside), "%q", c.stream)
		g.Expect(e.End(rest, sse.FormatOf(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}), true)).To(Equal(io.EOF), "%q", c.stream)
		b, err := io.ReadAll(sse.NewEndReader(iotest.OneByteReader(bytes.NewReader([]byte(c.stream)))))
		g.Expect(err == sse.ErrInsideEvent).To(Equal(c.inside), "%q: %v", c.stream, err)
		g.Expect(string(b)).To(Equal(c.stream))
	}
}
