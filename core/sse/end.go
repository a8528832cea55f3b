package sse

import (
	"io"

	"github.com/pkg/errors"
)

// ErrInsideEvent means that a stream ended inside an event. The server has broken it off, even if the body of its answer is
// complete: a server whose generator fails still ends the body. Clients discard such an event (WHATWG HTML, "Interpreting
// an event stream").
var ErrInsideEvent = errors.New("stream ends inside an event")

// End returns io.EOF if the stream may be complete where Next returned io.EOF with rest; io.ErrUnexpectedEOF or
// ErrInsideEvent if it was cut. framed is false if only its last event can show that the stream is complete: its answer
// ends with the connection, or goes on with the stream of another answer.
func (e *Reader) End(rest []byte, f Format, framed bool) error {
	switch {
	case !framed && (len(rest) > 0 || e.Count == 0):
		return io.ErrUnexpectedEOF
	case e.hasEvents(f) && endsInside(rest):
		return ErrInsideEvent
	}
	return io.EOF
}

// hasEvents reports whether the answer, of a target that was asked for a stream, consists of events: it says so, says
// nothing of its type, or has had an event with an id.
func (e *Reader) hasEvents(f Format) bool {
	return f.IsEvents() || f == Format{status: f.status} || e.LastID != ""
}

// endsInside reports whether bytes that begin between two events end inside one.
func endsInside(b []byte) bool {
	var p position
	p.advance(b)
	return p.insideEvent()
}

// position is a position in a stream of events. The zero value is its beginning.
type position struct {
	// afterField is true if the present event has a complete line; inLine is true after the first byte of a line, comment if
	// that is a colon, and afterCR if the byte before the position is a carriage return.
	afterField, inLine, comment, afterCR bool
}

// advance moves the position over b. A line ends with CR, LF or both.
func (p *position) advance(b []byte) {
	for _, c := range b {
		lineEnd := c == '\r' || c == '\n'
		switch {
		case c == '\n' && p.afterCR:
		case lineEnd && !p.inLine:
			p.afterField = false
		case lineEnd:
			p.afterField = p.afterField || !p.comment
			p.inLine = false
		case !p.inLine:
			p.inLine, p.comment = true, c == ':'
		}
		p.afterCR = c == '\r'
	}
}

// insideEvent reports whether the position is between the first byte and the empty line of an event. Comments belong to
// no event.
func (p *position) insideEvent() bool {
	return p.afterField || p.inLine && !p.comment
}

// EndReader reads the body of an answer unchanged, but returns ErrInsideEvent in place of io.EOF if that is a stream of
// events which ends inside one. It is not safe for concurrent use.
type EndReader struct {
	r   io.Reader
	pos position
}

// NewEndReader returns an EndReader of r.
func NewEndReader(r io.Reader) *EndReader { return &EndReader{r: r} }

// Read implements io.Reader.
func (e *EndReader) Read(b []byte) (n int, err error) {
	n, err = e.r.Read(b)
	e.pos.advance(b[:n])
	if err == io.EOF && e.pos.insideEvent() {
		err = ErrInsideEvent
	}
	return n, err
}
