package answer

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// OutOfOrderMax bounds the chunks that an Assembler buffers while an earlier one is missing.
const OutOfOrderMax = 16

// Result is the effect of a frame on an Assembler.
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

// Assembler reassembles the frames of one answer in order at the router. It is not safe for concurrent use.
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

// NewAssembler returns an assembler for the answer of the given boot of an agent, starting after chunk number after.
// A zero boot is replaced by that of the first frame.
func NewAssembler(id ident.RequestID, boot ident.Boot, after ident.Seq) *Assembler {
	return &Assembler{id: id, boot: boot, lastSeq: after, outOfOrder: map[ident.Seq]*wire.Chunk{}}
}

// AddChunk adds a chunk and returns the chunks that can now be delivered in order.
func (a *Assembler) AddChunk(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
	if !a.belongs(c.ID, c.Boot) {
		return nil, Foreign
	}
	switch {
	case c.Seq <= a.lastSeq:
		return nil, Accepted
	case c.Seq > a.lastSeq+1:
		if len(a.outOfOrder) < OutOfOrderMax {
			a.outOfOrder[c.Seq] = c
		}
		return nil, a.reportGap()
	}
	return a.deliver(c)
}

// AddEnd adds the end of the answer.
func (a *Assembler) AddEnd(e *wire.End) Result {
	if !a.belongs(e.ID, e.Boot) {
		return Foreign
	}
	if a.end == nil {
		a.end = e
	}
	return a.endResult()
}

// AttachMessage returns the message that requests the missing chunks. The router sends it after a Gap, after the
// connection was lost, and when nothing has arrived for some time.
func (a *Assembler) AttachMessage(account ident.AccountID, credit ident.Bytes) *wire.Attach {
	a.attachPending = true
	return &wire.Attach{ID: a.id, Boot: a.boot, Account: account, AfterSeq: a.lastSeq, Credit: credit}
}

// LastSeq returns the sequence number of the last chunk that was delivered.
func (a *Assembler) LastSeq() ident.Seq { return a.lastSeq }

// Complete reports whether the answer is complete.
func (a *Assembler) Complete() bool {
	return a.end != nil && a.end.Complete && a.end.LastSeq == a.lastSeq
}

func (a *Assembler) belongs(id ident.RequestID, b ident.Boot) bool {
	if id != a.id {
		return false
	}
	if a.boot == 0 {
		a.boot = b
	}
	return b == a.boot
}

func (a *Assembler) deliver(c *wire.Chunk) (ready []*wire.Chunk, res Result) {
	a.attachPending = false
	for ok := true; ok; c, ok = a.outOfOrder[a.lastSeq+1] {
		delete(a.outOfOrder, c.Seq)
		a.lastSeq = c.Seq
		ready = append(ready, c)
	}
	if a.end == nil || a.end.LastSeq > a.lastSeq {
		return ready, Accepted
	}
	return ready, a.endResult()
}

// endResult returns the result once the end is known.
func (a *Assembler) endResult() Result {
	switch {
	case a.end.LastSeq > a.lastSeq:
		a.attachPending = true
		return Gap
	case a.Complete():
		return Complete
	}
	return Truncated
}

func (a *Assembler) reportGap() Result {
	if a.attachPending {
		return Accepted
	}
	a.attachPending = true
	return Gap
}
