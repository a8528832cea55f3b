package answer

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// AheadMax bounds the chunks that a Reader holds while an earlier one is missing.
const AheadMax = 16

// Result says what a frame led to.
type Result uint8

// Results.
const (
	// Taken means that the frame was used, or was a duplicate.
	Taken Result = iota
	// Foreign means that the frame belongs to another request or run of the agent; it was dropped.
	Foreign
	// Gap means that an earlier chunk is missing: the router attaches again. For each missing position it
	// is reported once by Chunk, because frames sent before the new Attach still arrive after it, and by
	// each End.
	Gap
	// Complete means that the End matches all chunks received and the target ended the answer itself.
	Complete
	// Cut means that the answer ended without being whole.
	Cut
)

// Reader puts the frames of one answer in order, on the router's side. It is not safe for concurrent use.
type Reader struct {
	id   ident.RequestID
	boot ident.Boot
	// last is the sequence number of the last chunk that was delivered.
	last  ident.Seq
	ahead map[ident.Seq]*wire.Chunk
	end   *wire.End
	// asked is true after a gap was reported or Attach was called, until the next chunk is delivered.
	asked bool
}

// NewReader returns a reader of the answer that the given run of an agent gives, after chunk number
// after. A zero boot takes the run of the first frame.
func NewReader(id ident.RequestID, boot ident.Boot, after ident.Seq) *Reader {
	return &Reader{id: id, boot: boot, last: after, ahead: map[ident.Seq]*wire.Chunk{}}
}

// Chunk takes in a chunk and returns those that are now next in order.
func (r *Reader) Chunk(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
	if !r.own(c.ID, c.Boot) {
		return nil, Foreign
	}
	switch {
	case c.Seq <= r.last:
		return nil, Taken
	case c.Seq > r.last+1:
		if len(r.ahead) < AheadMax {
			r.ahead[c.Seq] = c
		}
		return nil, r.gap()
	}
	return r.advance(c)
}

// End takes in the end of the answer.
func (r *Reader) End(e *wire.End) Result {
	if !r.own(e.ID, e.Boot) {
		return Foreign
	}
	if r.end == nil {
		r.end = e
	}
	return r.state()
}

// Attach returns the message that asks for what is missing. The router sends it after a Gap, after the
// connection was lost, and when nothing arrived for a while.
func (r *Reader) Attach(a ident.AccountID, credit ident.Bytes) *wire.Attach {
	r.asked = true
	return &wire.Attach{ID: r.id, Boot: r.boot, Account: a, AfterSeq: r.last, Credit: credit}
}

// Last returns the sequence number of the last chunk that was delivered.
func (r *Reader) Last() ident.Seq { return r.last }

// Whole reports whether the answer is complete.
func (r *Reader) Whole() bool { return r.end != nil && r.end.Complete && r.end.LastSeq == r.last }

func (r *Reader) own(id ident.RequestID, b ident.Boot) bool {
	if id != r.id {
		return false
	}
	if r.boot == 0 {
		r.boot = b
	}
	return b == r.boot
}

func (r *Reader) advance(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
	r.asked = false
	for ok := true; ok; c, ok = r.ahead[r.last+1] {
		delete(r.ahead, c.Seq)
		r.last = c.Seq
		ready = append(ready, c)
	}
	if r.end == nil || r.end.LastSeq > r.last {
		return ready, Taken
	}
	return ready, r.state()
}

// state returns the result after the end is known.
func (r *Reader) state() Result {
	switch {
	case r.end.LastSeq > r.last:
		r.asked = true
		return Gap
	case r.Whole():
		return Complete
	}
	return Cut
}

func (r *Reader) gap() Result {
	if r.asked {
		return Taken
	}
	r.asked = true
	return Gap
}
