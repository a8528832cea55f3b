package lease

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// Machine is a candidate for a lease and its holder once it was acquired. It has at most one store
// call out at a time. It is not safe for concurrent use.
type Machine struct {
	name string
	self ident.ProcessID
	boot ident.Boot
	term time.Duration

	// seen is the last record read and rev its version; rev is empty before the first read.
	record Record
	rev    store.Rev
	// since is when seen was first read in this form; a change of it starts the wait of a candidate anew.
	unchangedSince time.Time

	// held is true from a successful acquisition until lapse, loss or release.
	held bool
	// until is the end of validity: two thirds of the term after the start of the last renewal.
	validUntil time.Time

	// out is the number of the outstanding call, zero if none.
	outstanding ident.Seq
	verb        Verb
	// want is the record of an outstanding or unsure write, and unsure its start.
	pendingWrite *Record
	writeStart   time.Time
	// next is the earliest time of the next call.
	nextCall time.Time
	seq      ident.Seq
	// leaving is true after Release: the lease is given up and not sought again.
	releasing bool
}

// Option configures a Machine.
type Option func(*Machine)

// WithTerm sets the term; it is the same for all candidates of a lease.
func WithTerm(d time.Duration) Option { return func(m *Machine) { m.term = d } }

// New returns a candidate for the lease name.
func New(name string, self ident.ProcessID, boot ident.Boot, opts ...Option) *Machine {
	m := &Machine{name: name, self: self, boot: boot, term: DefaultTerm}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Held returns the fencing number and the remaining validity by the own clock. Callers check it
// right before each use.
func (m *Machine) Held(now time.Time) (f ident.Fence, valid time.Duration, ok bool) {
	if !m.held || !now.Before(m.validUntil) {
		return 0, 0, false
	}
	return m.record.FencingToken, m.validUntil.Sub(now), true
}

// Seen returns the highest fencing number read.
func (m *Machine) HighestToken() ident.Fence { return m.record.FencingToken }

// Release gives the lease up at the next Tick, so that another candidate need not wait for a term.
func (m *Machine) Release() { m.releasing = true }

// Tick returns the store call that is due, if any. It is called at least four times per term.
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
		return m.write(now, Record{FencingToken: m.record.FencingToken})
	case m.releasing:
		return nil
	case m.held:
		return m.write(now, Record{Holder: m.self, Boot: m.boot, FencingToken: m.record.FencingToken})
	case m.available(now):
		return m.write(now, Record{Holder: m.self, Boot: m.boot, FencingToken: m.record.FencingToken + 1})
	}
	return m.call(now, Read, nil)
}

// free reports whether the lease may be taken: released, never held, unchanged for a whole term, or
// written by this very process in a write that seemed to have failed.
func (m *Machine) available(now time.Time) bool {
	if m.record.Holder == "" || m.record.Holder == m.self && m.record.Boot == m.boot {
		return true
	}
	return now.Sub(m.unchangedSince) >= max(m.term, time.Duration(m.record.TermMillis)*time.Millisecond)
}

func (m *Machine) write(now time.Time, r Record) []Call {
	r.WriteCount, r.TermMillis = m.record.WriteCount+1, m.term.Milliseconds()
	m.pendingWrite = &r
	v := Update
	if m.rev == absentRev {
		v = Create
	}
	return m.call(now, v, &r)
}

// absent stands for the version of an object that does not exist.
const absentRev store.Rev = "\x00absent"

func (m *Machine) call(now time.Time, v Verb, r *Record) []Call {
	m.seq++
	m.outstanding, m.verb = m.seq, v
	o := store.Object{Kind: ObjectKind, Name: m.name}
	if r != nil {
		o.Value = r.Encode()
		m.writeStart = now
	}
	if v == Update {
		o.Rev = m.rev
	}
	m.nextCall = now.Add(m.term / 3)
	return []Call{{Seq: m.seq, Verb: v, Object: o}}
}

// Result takes the result of a call. Results of calls that were given up are ignored.
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
		m.pendingWrite = nil // no effect; the next Tick tries again
		m.nextCall = now.Add(m.term / 12)
	case errors.Is(err, store.ErrOutcomeUnknown):
		m.nextCall = now // read back at once
	default: // changed by another
		m.pendingWrite = nil
		m.rev, m.held, m.nextCall = "", false, now
	}
}

// won applies a write that took effect; validity counts from the start of that write.
func (m *Machine) applyWrite(now time.Time) {
	m.setRecord(now, *m.pendingWrite)
	m.held = m.record.Holder == m.self && m.record.Boot == m.boot
	m.validUntil = m.writeStart.Add(m.term * 2 / 3)
	m.pendingWrite = nil
}

func (m *Machine) setRecord(now time.Time, r Record) {
	if r != m.record || m.unchangedSince.IsZero() {
		m.record, m.unchangedSince = r, now
	}
}

// read applies the answer of a read, which resolves an unsure write.
func (m *Machine) handleRead(now time.Time, o store.Object, err error) {
	if errors.Is(err, store.ErrNotFound) {
		m.rev, m.pendingWrite = absentRev, nil
		m.setRecord(now, Record{FencingToken: m.record.FencingToken}) // numbers must not start anew if the object was deleted
		m.nextCall = now
		return
	}
	var r Record
	if err == nil {
		r, err = Decode(o.Value)
	}
	if err != nil { // a malformed record is never replaced: its fencing number is not known
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
	if r.Holder != m.self || r.Boot != m.boot {
		m.held = false
	}
	if m.available(now) || m.held {
		m.nextCall = now
	}
}
