package answer

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// AheadMax bounds the chunks that a Reader holds while an earlier one is missing.
const ReorderMax = 16

// Result says what a frame led to.
type Result uint8

// Results.
const (
	// Taken means that the frame was used, or was a duplicate.
	Accepted Result = iota
	// Foreign means that the frame belongs to another request or run of the agent; it was dropped.
	Foreign
	// Gap means that an earlier chunk is missing: the router attaches again. For each missing position it
	// is reported once by Chunk, because frames sent before the new Attach still arrive after it, and by
	// each End.
	Gap
	// Complete means that the End matches all chunks received and the target ended the answer itself.
	Complete
	// Cut means that the answer ended without being whole.
	Truncated
)

// Reader puts the frames of one answer in order, on the router's side. It is not safe for concurrent use.
type Reader struct {
	id   ident.RequestID
	boot ident.Boot
	// last is the sequence number of the last chunk that was delivered.
	lastSeq    ident.Seq
	outOfOrder map[ident.Seq]*wire.Chunk
	end        *wire.End
	// asked is true after a gap was reported or Attach was called, until the next chunk is delivered.
	attachPending bool
}

// NewReader returns a reader of the answer that the given run of an agent gives, after chunk number
// after. A zero boot takes the run of the first frame.
func NewReader(id ident.RequestID, boot ident.Boot, after ident.Seq) *Reader {
	return &Reader{id: id, boot: boot, lastSeq: after, outOfOrder: map[ident.Seq]*wire.Chunk{}}
}

// Chunk takes in a chunk and returns those that are now next in order.
func (r *Reader) AddChunk(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
	if !r.belongs(c.ID, c.Boot) {
		return nil, Foreign
	}
	switch {
	case c.Seq <= r.lastSeq:
		return nil, Accepted
	case c.Seq > r.lastSeq+1:
		if len(r.outOfOrder) < ReorderMax {
			r.outOfOrder[c.Seq] = c
		}
		return nil, r.reportGap()
	}
	return r.deliver(c)
}

// End takes in the end of the answer.
func (r *Reader) AddEnd(e *wire.End) Result {
	if !r.belongs(e.ID, e.Boot) {
		return Foreign
	}
	if r.end == nil {
		r.end = e
	}
	return r.endResult()
}

// Attach returns the message that asks for what is missing. The router sends it after a Gap, after the
// connection was lost, and when nothing arrived for a while.
func (r *Reader) AttachMessage(a ident.AccountID, credit ident.Bytes) *wire.Attach {
	r.attachPending = true
	return &wire.Attach{ID: r.id, Boot: r.boot, Account: a, AfterSeq: r.lastSeq, Credit: credit}
}

// Last returns the sequence number of the last chunk that was delivered.
func (r *Reader) LastSeq() ident.Seq { return r.lastSeq }

// Whole reports whether the answer is complete.
func (r *Reader) Complete() bool { return r.end != nil && r.end.Complete && r.end.LastSeq == r.lastSeq }

func (r *Reader) belongs(id ident.RequestID, b ident.Boot) bool {
	if id != r.id {
		return false
	}
	if r.boot == 0 {
		r.boot = b
	}
	return b == r.boot
}

func (r *Reader) deliver(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
	r.attachPending = false
	for ok := true; ok; c, ok = r.outOfOrder[r.lastSeq+1] {
		delete(r.outOfOrder, c.Seq)
		r.lastSeq = c.Seq
		ready = append(ready, c)
	}
	if r.end == nil || r.end.LastSeq > r.lastSeq {
		return ready, Accepted
	}
	return ready, r.endResult()
}

// state returns the result after the end is known.
func (r *Reader) endResult() Result {
	switch {
	case r.end.LastSeq > r.lastSeq:
		r.attachPending = true
		return Gap
	case r.Complete():
		return Complete
	}
	return Truncated
}

func (r *Reader) reportGap() Result {
	if r.attachPending {
		return Accepted
	}
	r.attachPending = true
	return Gap
}
