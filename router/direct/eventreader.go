package direct

import (
	"bufio"
	"bytes"
	"io"
)

// eventSizeMax limits one event of a stream, in bytes.
const eventSizeMax = 1 << 20

// eventReader reads a stream of server-sent events one by one.
type eventReader struct {
	r *bufio.Reader
	// lastID is the id of the last complete event that has one; count is the number of complete events read.
	lastID string
	count  int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// next returns the next complete event with its final empty line. At the end of a complete stream it returns the
// bytes after the last event, if any, and io.EOF. With any other error the event is incomplete and must not be
// used.
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

// hasBuffered reports whether another complete event is in the buffer. The beginning of an event does not count:
// the rest of it may take long to arrive.
func (e *eventReader) hasBuffered() bool {
	b, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}
