package event_test

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
)

// Guards against a log whose full queue blocks a request: lines beyond the bound must be dropped and counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	w := event.NewAsyncWriter(&bytes.Buffer{})
	for range event.AsyncWriterLinesMax + 5 {
		n, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(5))
	}
	g.Expect(w.Dropped()).To(BeEquivalentTo(5))
	g.Expect(w.Dropped()).To(BeZero())
}

// Guards against lines that still wait and are lost when the process stops.
func TestAsyncWriterFlushesOnStop(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := event.NewAsyncWriter(&out)
	_, _ = w.Write([]byte("a\n"))
	_, _ = w.Write([]byte("b\n"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(w.Run(ctx)).To(Succeed())
	g.Expect(out.String()).To(Equal("a\nb\n"))
}
