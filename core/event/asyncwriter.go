package event

import (
	"context"
	"io"
	"sync/atomic"

	"hickoryvane.example/core/ring"
)

// AsyncWriterLinesMax bounds the lines that wait to be written: some seconds of a busy router's log, about 1 MB.
const AsyncWriterLinesMax = 4096

// AsyncWriter is a writer that never blocks its callers. Lines wait in a ring until Run writes them; when the ring is
// full, new lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer whose lines Run writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: ring.New[[]byte](AsyncWriterLinesMax)}
}

// Write implements io.Writer; it queues one line and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.TryPut(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Swap(0) }

// Run writes lines until ctx ends, and then the lines that still wait. It returns an error when the output fails.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		if err := w.flush(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return w.flush()
		case <-w.lines.Ready():
		}
	}
}

func (w *AsyncWriter) flush() error {
	for {
		line, ok := w.lines.Take()
		if !ok {
			return nil
		}
		if _, err := w.out.Write(line); err != nil {
			return err
		}
	}
}
