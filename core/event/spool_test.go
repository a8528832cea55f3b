package event_test

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
)

// Guards against a log that blocks a request: without a reader, lines beyond the bound are counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	s := event.NewAsyncWriter(&bytes.Buffer{})
	for range event.AsyncWriterLinesMax + 5 {
		n, err := s.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(5))
	}
	g.Expect(s.Dropped()).To(BeEquivalentTo(5))
	g.Expect(s.Dropped()).To(BeZero())
}

// Guards against lines that are lost when the process stops.
func TestAsyncWriterFlushesOnStop(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	s := event.NewAsyncWriter(&out)
	_, _ = s.Write([]byte("a\n"))
	_, _ = s.Write([]byte("b\n"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(s.Run(ctx)).To(Succeed())
	g.Expect(out.String()).To(Equal("a\nb\n"))
}
