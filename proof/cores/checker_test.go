package cores_test

import (
	"fmt"
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/router/entry"
)

// call is one attempt of a caller to send a request, or one request to resume a stored answer.
type call struct {
	id     entry.CallID
	router int
	tag    string
	// idempotent is true for a route that may run more than once, resumed for a request to resume a stored answer.
	idempotent, resumed bool
	plain               bool
	lastSeq             ident.Seq
	head                *entry.Head
	attempt             ident.RequestID
	// done is true after the end of the answer, disconnected after the caller's connection was closed.
	done, disconnected bool
	fault              *fault.Error
}

// checker records calls, executions and lost agents, and checks the guarantees that callers rely on.
type checker struct {
	calls      []*call
	violations []string
	// written holds the ids written to targets, and runs the executions by the tag of their request.
	written   map[ident.RequestID]bool
	runs      map[string][]*execution
	firstSent map[string]time.Time
	// lastLost holds the last time at which a router could consider an agent lost, by agent.
	lastLost map[int]time.Time
}

func newChecker() checker {
	return checker{
		written: make(map[ident.RequestID]bool), runs: make(map[string][]*execution),
		firstSent: make(map[string]time.Time), lastLost: make(map[int]time.Time),
	}
}

func (c *checker) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordRun records an execution and checks that no id is written twice and no request runs twice that must not.
func (c *checker) recordRun(x *execution) {
	if c.written[x.id] {
		c.report("id %s of %s was written twice", x.id, x.tag)
	}
	c.written[x.id] = true
	c.runs[x.tag] = append(c.runs[x.tag], x)
	i := slices.IndexFunc(c.calls, func(k *call) bool { return k.tag == x.tag })
	if k := c.calls[i]; len(c.runs[x.tag]) > 1 && !k.idempotent && (k.plain || !c.ownersLost(x.tag)) {
		c.report("%s was run twice", x.tag)
	}
}

// ownersLost reports whether at least two agents, the number of owners of a claim, were lost since the request was
// first sent.
func (c *checker) ownersLost(tag string) bool {
	n := 0
	for _, at := range c.lastLost {
		if !at.Before(c.firstSent[tag]) {
			n++
		}
	}
	return n >= 2
}

// disconnect marks the callers of a router as disconnected.
func (c *checker) disconnect(router int) {
	for _, k := range c.calls {
		k.disconnected = k.disconnected || k.router == router
	}
}

func (c *checker) recordReply(a entry.Reply) {
	i := slices.IndexFunc(c.calls, func(k *call) bool { return k.id == a.Call })
	k := c.calls[i]
	switch p := a.Part; {
	case k.disconnected:
	case k.done:
		c.report("call %d of %s got more after the end of its answer", k.id, k.tag)
	case p.Head != nil:
		k.head = p.Head
	case p.Data != nil:
		k.lastSeq++
		if want := fmt.Sprintf("%s:%d", k.tag, k.lastSeq); p.Data.Seq != k.lastSeq || string(p.Data.Payload) != want {
			c.report("call %d of %s got %d %q instead of %q", k.id, k.tag, p.Data.Seq, p.Data.Payload, want)
		}
	case p.Complete:
		k.done = true
		if !slices.ContainsFunc(c.runs[k.tag], func(x *execution) bool { return x.total == int(k.lastSeq) }) {
			c.report("call %d of %s is marked complete with %d parts", k.id, k.tag, k.lastSeq)
		}
	default:
		k.done, k.fault = true, p.Fault
	}
}

// hasOpenCalls reports whether a connected caller still waits for the end of its answer.
func (c *checker) hasOpenCalls() bool {
	return slices.ContainsFunc(c.calls, func(k *call) bool { return !k.done && !k.disconnected })
}

// checkFinalState checks the guarantees that can be judged only after the last action.
func (c *checker) checkFinalState() {
	for _, k := range c.calls {
		notRun := k.fault != nil && k.fault.Run == fault.NotRun
		switch {
		case !k.done && !k.disconnected:
			c.report("call %d of %s never ended", k.id, k.tag)
		case notRun && k.resumed && c.written[k.attempt]:
			c.report("%s of %s ran but was reported as not run", k.attempt, k.tag)
		case notRun && !k.resumed && len(c.runs[k.tag]) > 0 && c.allNotRun(k.tag):
			c.report("%s ran but was reported as not run", k.tag)
		}
	}
}

// allNotRun reports whether every attempt to send a request was answered "not run".
func (c *checker) allNotRun(tag string) bool {
	return !slices.ContainsFunc(c.calls, func(k *call) bool {
		return k.tag == tag && !k.resumed && (k.fault == nil || k.fault.Run != fault.NotRun)
	})
}
