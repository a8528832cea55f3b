package answer

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// ReorderMax bounds the chunks that a Reader buffers while an earlier one is missing.
const OutOfOrderMax = 16

// Result is the effect of a frame on a Reader.
type Result uint8

// Results of AddChunk and AddEnd.
const (
	// Accepted means that the frame was processed or was a duplicate, and no action is needed.
	Accepted Result = iota
	// Foreign means that the frame belongs to another request or boot of the agent; it was dropped.
	Foreign
	// Gap means that an earlier chunk is missing and the router must attach again. For each missing position
	// AddChunk returns it only once, because frames sent before the new Attach still arrive after it, while AddEnd
	// returns it at each call.
	Gap
	// Complete means that all chunks up to the End were received and the target finished the answer itself.
	Complete
	// Truncated means that the answer ended without being complete.
	Truncated
)

// Reader reassembles the frames of one answer in order at the router. It is not safe for concurrent use.
type Assembler struct {
	id   ident.RequestID
	boot ident.Boot
	// lastSeq is the sequence number of the last chunk that was delivered.
	lastSeq    ident.Seq
	outOfOrder map[ident.Seq]*wire.Chunk
	end        *wire.End
	// attachPending is true after a gap was reported or AttachMessage was called, until the next chunk is delivered.
	attachPending bool
}

// NewReader returns a reader of the answer of the given boot of an agent, starting after chunk number after. A
// zero boot is replaced by that of the first frame.
func NewAssembler(id ident.RequestID, boot ident.Boot, after ident.Seq) *Assembler {
	return &Assembler{id: id, boot: boot, lastSeq: after, outOfOrder: map[ident.Seq]*wire.Chunk{}}
}

// AddChunk adds a chunk and returns the chunks that can now be delivered in order.
func (r *Assembler) AddChunk(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
	if !r.belongs(c.ID, c.Boot) {
		return nil, Foreign
	}
	switch {
	case c.Seq <= r.lastSeq:
		return nil, Accepted
	case c.Seq > r.lastSeq+1:
		if len(r.outOfOrder) < OutOfOrderMax {
			r.outOfOrder[c.Seq] = c
		}
		return nil, r.reportGap()
	}
	return r.deliver(c)
}

// AddEnd adds the end of the answer.
func (r *Assembler) AddEnd(e *wire.End) Result {
	if !r.belongs(e.ID, e.Boot) {
		return Foreign
	}
	if r.end == nil {
		r.end = e
	}
	return r.endResult()
}

// AttachMessage returns the message that requests the missing chunks. The router sends it after a Gap, after the
// connection was lost, and when nothing has arrived for some time.
func (r *Assembler) AttachMessage(a ident.AccountID, credit ident.Bytes) *wire.Attach {
	r.attachPending = true
	return &wire.Attach{ID: r.id, Boot: r.boot, Account: a, AfterSeq: r.lastSeq, Credit: credit}
}

// LastSeq returns the sequence number of the last chunk that was delivered.
func (r *Assembler) LastSeq() ident.Seq { return r.lastSeq }

// Complete reports whether the answer is complete.
func (r *Assembler) Complete() bool {
	return r.end != nil && r.end.Complete && r.end.LastSeq == r.lastSeq
}

func (r *Assembler) belongs(id ident.RequestID, b ident.Boot) bool {
	if id != r.id {
		return false
	}
	if r.boot == 0 {
		r.boot = b
	}
	return b == r.boot
}

func (r *Assembler) deliver(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
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

// endResult returns the result once the end is known.
func (r *Assembler) endResult() Result {
	switch {
	case r.end.LastSeq > r.lastSeq:
		r.attachPending = true
		return Gap
	case r.Complete():
		return Complete
	}
	return Truncated
}

func (r *Assembler) reportGap() Result {
	if r.attachPending {
		return Accepted
	}
	r.attachPending = true
	return Gap
}
