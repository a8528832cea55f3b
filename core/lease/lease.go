package lease

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// Machine is a candidate for a lease, and its holder once it has acquired it. At most one store call is
// outstanding at a time. It is not safe for concurrent use.
type Machine struct {
	name string
	self ident.ProcessID
	boot ident.Boot
	term time.Duration

	// record is the last record read or written and rev its revision; rev is empty before the first read.
	record Record
	rev    store.Rev
	// highest is the highest fencing token known. The record may have a lower one after the store was restored from an
	// older copy; it is not given out again.
	highest ident.Fence
	// unchangedSince is when record last changed; each change restarts the wait of a candidate.
	unchangedSince time.Time

	// held is true from a successful acquisition until expiry, loss or release.
	held bool
	// validUntil is two thirds of the term after the start of the last renewal.
	validUntil time.Time

	// outstanding is the sequence number of the outstanding call, zero if there is none.
	outstanding ident.Seq
	verb        Verb
	// pendingWrite is the record of a write that is outstanding or whose outcome is unknown; writeStart is when
	// that write began.
	pendingWrite *Record
	writeStart   time.Time
	// nextCall is the earliest time of the next call.
	nextCall time.Time
	seq      ident.Seq
	// releasing is true after Release: the lease is given up and not acquired again.
	releasing bool
}

// Option configures a Machine.
type Option func(*Machine)

// WithTerm sets the term of the lease, which is the same for all its candidates.
func WithTerm(d time.Duration) Option { return func(m *Machine) { m.term = d } }

// New returns a candidate for the lease with the given name.
func New(name string, self ident.ProcessID, boot ident.Boot, opts ...Option) *Machine {
	m := &Machine{name: name, self: self, boot: boot, term: DefaultTerm}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Held returns the fencing token and the remaining validity by the local clock; ok is false when the lease is not
// held. Callers check it immediately before each use.
func (m *Machine) Held(now time.Time) (token ident.Fence, valid time.Duration, ok bool) {
	if !m.held || !now.Before(m.validUntil) {
		return 0, 0, false
	}
	return m.record.FencingToken, m.validUntil.Sub(now), true
}

// HighestToken returns the highest fencing token read, written or learned.
func (m *Machine) HighestToken() ident.Fence { return m.highest }

// LearnToken applies a fencing token that an agent has admitted. A holder with a lower one acquires the lease again.
func (m *Machine) LearnToken(token ident.Fence) {
	m.highest = max(m.highest, token)
	if m.held && m.record.FencingToken < m.highest {
		m.held, m.nextCall = false, time.Time{}
	}
}

// Release gives up the lease at the next Tick, so that other candidates need not wait for its term to pass.
func (m *Machine) Release() { m.releasing = true }

// Tick returns the store call that is due, if any. It must be called at least four times per term.
func (m *Machine) Tick(now time.Time) []Call {
	if m.held && !now.Before(m.validUntil) {
		m.held = false
	}
	if m.outstanding != 0 || now.Before(m.nextCall) {
		return nil
	}
	switch {
	case m.rev == "" || m.pendingWrite != nil:
		return m.call(now, Read, nil)
	case m.held && m.releasing:
		m.held = false
		return m.write(now, Record{FencingToken: m.highest})
	case m.releasing:
		return nil
	case m.held:
		return m.write(now, Record{Holder: m.self, Boot: m.boot, FencingToken: m.record.FencingToken})
	case m.available(now):
		return m.write(now, Record{Holder: m.self, Boot: m.boot, FencingToken: m.highest + 1})
	}
	return m.call(now, Read, nil)
}

// available reports whether the lease may be acquired: it was released, was never held, has not changed for a whole
// term, or its record names this boot of this process, for example after its own validity has expired or after a
// write that appeared to have failed.
func (m *Machine) available(now time.Time) bool {
	if m.record.Holder == "" || m.record.Holder == m.self && m.record.Boot == m.boot {
		return true
	}
	return now.Sub(m.unchangedSince) >= max(m.term, time.Duration(m.record.TermMillis)*time.Millisecond)
}

func (m *Machine) write(now time.Time, r Record) []Call {
	r.WriteCount, r.TermMillis = m.record.WriteCount+1, m.term.Milliseconds()
	m.pendingWrite = &r
	verb := Update
	if m.rev == absentRev {
		verb = Create
	}
	return m.call(now, verb, &r)
}

// absentRev stands for the revision of an object that does not exist.
const absentRev store.Rev = "\x00absent"

func (m *Machine) call(now time.Time, verb Verb, r *Record) []Call {
	m.seq++
	m.outstanding, m.verb = m.seq, verb
	o := store.Object{Kind: ObjectKind, Name: m.name}
	if r != nil {
		o.Value = r.Encode()
		m.writeStart = now
	}
	if verb == Update {
		o.Rev = m.rev
	}
	m.nextCall = now.Add(m.term / 3)
	return []Call{{Seq: m.seq, Verb: verb, Object: o}}
}

// HandleResult applies the result of a call. Results of calls that are no longer outstanding are ignored.
func (m *Machine) HandleResult(now time.Time, seq ident.Seq, o store.Object, err error) {
	if seq == 0 || seq != m.outstanding {
		return
	}
	m.outstanding = 0
	if m.verb == Read {
		m.handleRead(now, o, err)
		return
	}
	switch {
	case err == nil:
		m.rev = o.Rev
		m.applyWrite(now)
	case errors.Is(err, store.ErrUnavailable):
		m.pendingWrite = nil // the write had no effect; it is retried at a later Tick
		m.nextCall = now.Add(m.term / 12)
	case errors.Is(err, store.ErrOutcomeUnknown):
		m.nextCall = now // read the record back immediately
	default: // another process changed the record
		m.pendingWrite = nil
		m.rev, m.held, m.nextCall = "", false, now
	}
}

// applyWrite applies a write that took effect. The validity counts from the start of that write.
func (m *Machine) applyWrite(now time.Time) {
	m.setRecord(now, *m.pendingWrite)
	m.held = m.record.Holder == m.self && m.record.Boot == m.boot && m.record.FencingToken == m.highest
	m.validUntil = m.writeStart.Add(m.term * 2 / 3)
	m.pendingWrite = nil
}

func (m *Machine) setRecord(now time.Time, r Record) {
	m.highest = max(m.highest, r.FencingToken)
	if r != m.record || m.unchangedSince.IsZero() {
		m.record, m.unchangedSince = r, now
	}
}

// handleRead applies the answer to a read, which resolves a write whose outcome was unknown.
func (m *Machine) handleRead(now time.Time, o store.Object, err error) {
	if errors.Is(err, store.ErrNotFound) {
		m.rev, m.pendingWrite = absentRev, nil
		m.setRecord(now, Record{FencingToken: m.highest}) // the token never restarts at zero
		m.nextCall = now
		return
	}
	var r Record
	if err == nil {
		r, err = Decode(o.Value)
	}
	if err != nil { // a malformed record is never replaced, as its fencing token is unknown
		m.nextCall = now.Add(m.term / 12)
		return
	}
	m.rev = o.Rev
	if m.pendingWrite != nil && r == *m.pendingWrite {
		m.applyWrite(now)
		return
	}
	m.pendingWrite = nil
	m.setRecord(now, r)
	if r.Holder != m.self || r.Boot != m.boot || r.FencingToken < m.highest {
		m.held = false
	}
	if m.available(now) || m.held {
		m.nextCall = now
	}
}
