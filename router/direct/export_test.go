package direct

import (
	"io"

	"hickoryvane.example/core/budget"
	"hickoryvane.example/core/ident"
)

// EventReader exposes the reader of event streams to fuzz tests.
type EventReader struct{ *eventReader }

// NewEventReader returns a reader of the events of r.
func NewEventReader(r io.Reader) EventReader { return EventReader{newEventReader(r)} }

// Next returns the next block; see eventReader.next.
func (e EventReader) Next() (block []byte, isEvent bool, err error) { return e.next() }

// EventSizeMax is the largest event, in bytes.
const EventSizeMax = eventSizeMax

// Memory exposes the limit of the memory for bodies to benchmarks.
type Memory struct{ *budget.Budget }

// NewMemory returns the limit of a process with the given memory.
func NewMemory(megabytes float64) Memory { return Memory{budget.New(megabytes*(1<<20), 0)} }

// ReadBody reads a body of the declared length and gives its memory back.
func (m Memory) ReadBody(r io.Reader, declared, limit int64) (size int64, err error) {
	b, err := m.NewBody("a", declared)
	if err != nil {
		return 0, err
	}
	defer b.Release()
	err = b.Fill(r, declared, limit)
	return b.Size, err
}

// Hold reads a body of the given size and keeps it.
func (m Memory) Hold(a ident.AccountID, size int64) error {
	b, err := m.NewBody(a, size)
	if err != nil {
		return err
	}
	if err = b.Fill(io.LimitReader(zeros{}, size), size, size); err != nil {
		b.Release()
	}
	return err
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
