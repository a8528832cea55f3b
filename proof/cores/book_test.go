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
type caller struct {
	id     entry.CallID
	router int
	tag    string
	// repeat is true for an idempotent call, resumed for a request for a kept answer.
	repeat, resumed bool
	plain           bool
	got             ident.Seq
	head            *entry.Head
	attempt         ident.RequestID
	// done is true after the end of the answer, left when the connection of the caller is gone.
	done, left bool
	fault      *fault.Error
}

// book records what happened and checks the promises.
type book struct {
	calls  []*caller
	faults []string
	// wrote holds the ids written to targets, and runs the executions by the tag of their request.
	wrote map[ident.RequestID]bool
	runs  map[string][]*execution
	first map[string]time.Time
	// lost holds the last time at which an agent was lost to a router.
	lost map[int]time.Time
}

func newBook() book {
	return book{
		wrote: make(map[ident.RequestID]bool), runs: make(map[string][]*execution),
		first: make(map[string]time.Time), lost: make(map[int]time.Time),
	}
}

func (b *book) fault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

// write checks that nothing is written twice that must not be.
func (b *book) write(x *execution) {
	if b.wrote[x.id] {
		b.fault("id %s of %s was written twice", x.id, x.tag)
	}
	b.wrote[x.id] = true
	b.runs[x.tag] = append(b.runs[x.tag], x)
	i := slices.IndexFunc(b.calls, func(k *caller) bool { return k.tag == x.tag })
	if k := b.calls[i]; len(b.runs[x.tag]) > 1 && !k.repeat && (k.plain || !b.homesLost(x.tag)) {
		b.fault("%s was run twice", x.tag)
	}
}

// homesLost reports whether as many agents as a claim has homes were lost since the first send.
func (b *book) homesLost(tag string) bool {
	n := 0
	for _, at := range b.lost {
		if !at.Before(b.first[tag]) {
			n++
		}
	}
	return n >= 2
}

// broken notes that the connections of the callers of a router are gone.
func (b *book) broken(router int) {
	for _, k := range b.calls {
		k.left = k.left || k.router == router
	}
}

func (b *book) reply(a entry.Reply) {
	i := slices.IndexFunc(b.calls, func(k *caller) bool { return k.id == a.Call })
	k := b.calls[i]
	switch p := a.Part; {
	case k.left:
	case k.done:
		b.fault("call %d of %s goes on after its end", k.id, k.tag)
	case p.Head != nil:
		k.head = p.Head
	case p.Data != nil:
		k.got++
		if want := fmt.Sprintf("%s:%d", k.tag, k.got); p.Data.Seq != k.got || string(p.Data.Payload) != want {
			b.fault("call %d of %s got %d %q instead of %q", k.id, k.tag, p.Data.Seq, p.Data.Payload, want)
		}
	case p.Complete:
		k.done = true
		if !slices.ContainsFunc(b.runs[k.tag], func(x *execution) bool { return x.total == int(k.got) }) {
			b.fault("call %d of %s is whole with %d parts", k.id, k.tag, k.got)
		}
	default:
		k.done, k.fault = true, p.Fault
	}
}

// open reports whether a caller waits.
func (b *book) open() bool {
	return slices.ContainsFunc(b.calls, func(k *caller) bool { return !k.done && !k.left })
}

// finish checks what holds at the end.
func (b *book) finish() {
	for _, k := range b.calls {
		notRun := k.fault != nil && k.fault.Run == fault.NotRun
		switch {
		case !k.done && !k.left:
			b.fault("call %d of %s waits for ever", k.id, k.tag)
		case notRun && k.resumed && b.wrote[k.attempt]:
			b.fault("%s of %s ran and was told not to have run", k.attempt, k.tag)
		case notRun && !k.resumed && len(b.runs[k.tag]) > 0 && b.allNotRun(k.tag):
			b.fault("%s ran and was told not to have run", k.tag)
		}
	}
}

// allNotRun reports whether every send of a request was answered "not run".
func (b *book) allNotRun(tag string) bool {
	return !slices.ContainsFunc(b.calls, func(k *caller) bool {
		return k.tag == tag && !k.resumed && (k.fault == nil || k.fault.Run != fault.NotRun)
	})
}
