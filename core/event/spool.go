package event

import (
	"context"
	"io"
	"sync/atomic"

	"hickoryvane.example/core/ring"
)

// SpoolLines bounds the lines that wait to be written: some seconds of a busy router, about 1 MB.
const AsyncWriterLinesMax = 4096

// Spool is a writer that never blocks. Lines wait in a ring for a goroutine that writes them; when the
// ring is full, new lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewSpool returns a spool that writes to out while Run runs.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: ring.New[[]byte](AsyncWriterLinesMax)}
}

// Write implements io.Writer; it takes one line and never fails.
func (s *AsyncWriter) Write(line []byte) (int, error) {
	if !s.lines.TryPut(append([]byte(nil), line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (s *AsyncWriter) Dropped() int64 { return s.dropped.Swap(0) }

// Run writes lines until ctx ends, and then what is left. It ends with an error when the output fails.
func (s *AsyncWriter) Run(ctx context.Context) error {
	for {
		if err := s.flush(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return s.flush()
		case <-s.lines.Ready():
		}
	}
}

func (s *AsyncWriter) flush() error {
	for {
		line, ok := s.lines.Take()
		if !ok {
			return nil
		}
		if _, err := s.out.Write(line); err != nil {
			return err
		}
	}
}
