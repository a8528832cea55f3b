package direct

import (
	"io"

	"hickoryvane.example/core/ident"
)

// Memory exposes the limit of the memory for bodies to benchmarks.
type Memory struct{ *memoryBudget }

// NewMemory returns the limit of a process with the given memory.
func NewMemory(megabytes float64) Memory { return Memory{newMemoryBudget(megabytes)} }

// ReadBody reads a body of the declared length and gives its memory back.
func (m Memory) ReadBody(r io.Reader, declared, limit int64) (size int64, err error) {
	b, err := m.newBody("a", declared)
	if err != nil {
		return 0, err
	}
	defer b.release()
	err = b.readFrom(r, declared, limit)
	return b.size, err
}

// Hold reads a body of the given size and keeps it.
func (m Memory) Hold(a ident.AccountID, size int64) error {
	b, err := m.newBody(a, size)
	if err != nil {
		return err
	}
	if err = b.readFrom(io.LimitReader(zeros{}, size), size, size); err != nil {
		b.release()
	}
	return err
}

// ReserveAnswer reserves memory for an answer.
func (m Memory) ReserveAnswer(n int64) bool { return m.reserveAnswer(n) }

// Used returns the memory that is in use, in bytes.
func (m Memory) Used() int64 { return m.answers + m.small + m.large }

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
