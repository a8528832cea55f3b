// Package stream reads streams of server-sent events one by one, and tells whether the rest of a stream fits its beginning.
package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// eventSizeMax limits one event of a stream with the padding before it, in bytes.
	eventSizeMax = 1 << 20
	// readBufferSize is the size of the buffer for the events, in bytes.
	readBufferSize = 8 << 10
)

// errEventTooLarge means that a target sent eventSizeMax bytes without completing an event.
var errEventTooLarge = errors.Errorf("event of the stream is larger than %d bytes", eventSizeMax)

// Reader reads a stream of server-sent events one by one.
type Reader struct {
	r *bufio.Reader
	// LastID is the id of the last complete event that has one; Count is the number of complete events read.
	LastID string
	Count  int
	// padding is the number of bytes of empty lines and comments since the last event.
	padding int
}

// NewReader returns a reader of the events of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// Next returns the next block of lines with its final empty line, and whether the block is an event; empty lines
// and comments alone are padding. At the end of the stream it returns the bytes after the last block, if any, and
// io.EOF. With any other error the block is incomplete and must not be used.
func (e *Reader) Next() (block []byte, isEvent bool, err error) {
	id, lineStart := "", 0
	for {
		part, err := e.r.ReadSlice('\n')
		block = append(block, part...)
		switch {
		case e.padding+len(block) >= eventSizeMax:
			return nil, false, errEventTooLarge
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return block, isEvent, err
		}
		line := bytes.TrimRight(block[lineStart:], "\r\n")
		lineStart = len(block)
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
		if len(line) > 0 {
			isEvent = isEvent || line[0] != ':'
			continue
		}
		if !isEvent {
			e.padding += len(block)
			return block, false, nil
		}
		e.padding = 0
		e.Count++
		if id != "" {
			e.LastID = id
		}
		return block, true, nil
	}
}

// HasBuffered reports whether another complete event is in the buffer. The beginning of an event does not count:
// the rest of it may take long to arrive.
func (e *Reader) HasBuffered() bool {
	b, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}
