package direct

import "io"

// EventReader exposes the reader of event streams to fuzz tests.
type EventReader struct{ *eventReader }

// NewEventReader returns a reader of the events of r.
func NewEventReader(r io.Reader) EventReader { return EventReader{newEventReader(r)} }

// Next returns the next block; see eventReader.next.
func (e EventReader) Next() (block []byte, isEvent bool, err error) { return e.next() }

// EventSizeMax is the largest event, in bytes.
const EventSizeMax = eventSizeMax
