package direct

import (
	"bufio"
	"bytes"
	"io"
)

// eventMax bounds one event of a stream, in bytes.
const eventSizeMax = 1 << 20

// events reads a stream event by event.
type eventReader struct {
	r *bufio.Reader
	// last is the id of the last whole event.
	lastID string
	count  int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// next returns the next whole event with its final empty line. At the end of a whole stream it returns the
// bytes after the last event, if any, and io.EOF. What came of an unfinished event is not returned with
// any other error.
func (e *eventReader) next() (event []byte, err error) {
	id := ""
	for {
		line, err := e.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull && len(event) < eventSizeMax:
			continue
		case err != nil:
			return event, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if v, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
		if len(trimmed) == 0 {
			if id != "" {
				e.lastID = id
			}
			e.count++
			return event, nil
		}
	}
}

// more reports whether a further whole event was read already. The beginning of one does not count: its rest
// may take long.
func (e *eventReader) hasBuffered() bool {
	b, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}
