package cores_test

import (
	"fmt"
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/router/entry"
)

// caller is one send of a request, or one request for a kept answer.
type call struct {
	id     entry.CallID
	router int
	tag    string
	// repeat is true for an idempotent call, resumed for a request for a kept answer.
	idempotent, resumed bool
	plain               bool
	lastSeq             ident.Seq
	head                *entry.Head
	attempt             ident.RequestID
	// done is true after the end of the answer, left when the connection of the caller is gone.
	done, disconnected bool
	fault              *fault.Error
}

// book records what happened and checks the promises.
type checker struct {
	calls      []*call
	violations []string
	// wrote holds the ids written to targets, and runs the executions by the tag of their request.
	written   map[ident.RequestID]bool
	runs      map[string][]*execution
	firstSent map[string]time.Time
	// lost holds the last time at which an agent was lost to a router.
	lastLost map[int]time.Time
}

func newChecker() checker {
	return checker{
		written: make(map[ident.RequestID]bool), runs: make(map[string][]*execution),
		firstSent: make(map[string]time.Time), lastLost: make(map[int]time.Time),
	}
}

func (b *checker) report(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

// write checks that nothing is written twice that must not be.
func (b *checker) recordRun(x *execution) {
	if b.written[x.id] {
		b.report("id %s of %s was written twice", x.id, x.tag)
	}
	b.written[x.id] = true
	b.runs[x.tag] = append(b.runs[x.tag], x)
	i := slices.IndexFunc(b.calls, func(k *call) bool { return k.tag == x.tag })
	if k := b.calls[i]; len(b.runs[x.tag]) > 1 && !k.idempotent && (k.plain || !b.ownersLost(x.tag)) {
		b.report("%s was run twice", x.tag)
	}
}

// homesLost reports whether as many agents as a claim has homes were lost since the first send.
func (b *checker) ownersLost(tag string) bool {
	n := 0
	for _, at := range b.lastLost {
		if !at.Before(b.firstSent[tag]) {
			n++
		}
	}
	return n >= 2
}

// broken notes that the connections of the callers of a router are gone.
func (b *checker) disconnect(router int) {
	for _, k := range b.calls {
		k.disconnected = k.disconnected || k.router == router
	}
}

func (b *checker) recordReply(a entry.Reply) {
	i := slices.IndexFunc(b.calls, func(k *call) bool { return k.id == a.Call })
	k := b.calls[i]
	switch p := a.Part; {
	case k.disconnected:
	case k.done:
		b.report("call %d of %s goes on after its end", k.id, k.tag)
	case p.Head != nil:
		k.head = p.Head
	case p.Data != nil:
		k.lastSeq++
		if want := fmt.Sprintf("%s:%d", k.tag, k.lastSeq); p.Data.Seq != k.lastSeq || string(p.Data.Payload) != want {
			b.report("call %d of %s got %d %q instead of %q", k.id, k.tag, p.Data.Seq, p.Data.Payload, want)
		}
	case p.Complete:
		k.done = true
		if !slices.ContainsFunc(b.runs[k.tag], func(x *execution) bool { return x.total == int(k.lastSeq) }) {
			b.report("call %d of %s is whole with %d parts", k.id, k.tag, k.lastSeq)
		}
	default:
		k.done, k.fault = true, p.Fault
	}
}

// open reports whether a caller waits.
func (b *checker) hasOpenCalls() bool {
	return slices.ContainsFunc(b.calls, func(k *call) bool { return !k.done && !k.disconnected })
}

// finish checks what holds at the end.
func (b *checker) checkFinalState() {
	for _, k := range b.calls {
		notRun := k.fault != nil && k.fault.Run == fault.NotRun
		switch {
		case !k.done && !k.disconnected:
			b.report("call %d of %s waits for ever", k.id, k.tag)
		case notRun && k.resumed && b.written[k.attempt]:
			b.report("%s of %s ran and was told not to have run", k.attempt, k.tag)
		case notRun && !k.resumed && len(b.runs[k.tag]) > 0 && b.allNotRun(k.tag):
			b.report("%s ran and was told not to have run", k.tag)
		}
	}
}

// allNotRun reports whether every send of a request was answered "not run".
func (b *checker) allNotRun(tag string) bool {
	return !slices.ContainsFunc(b.calls, func(k *call) bool {
		return k.tag == tag && !k.resumed && (k.fault == nil || k.fault.Run != fault.NotRun)
	})
}
