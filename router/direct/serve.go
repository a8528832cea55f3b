package direct

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
)

const (
	// answerMax bounds an answer that is held until it is whole, in bytes.
	answerMax = 8 << 20
	// placesMax bounds the targets that a request is sent to, those that did not run it included.
	placesMax = 4
	// stall is the shortest silence after which a stream that can be resumed goes on at another target.
	// Callers leave after two seconds.
	stall = 1200 * time.Millisecond
	// writeGrace is the time after the end of a request in which its last bytes may be written.
	writeGrace = 500 * time.Millisecond
	// fullAfter is the time after which a caller may come back whose request all targets refused.
	fullAfter = 300 * time.Millisecond
)

// end is how a request ended at one target.
type end uint8

const (
	// delivered: the caller has the whole answer of the target.
	delivered end = iota
	// notRun: the target states that it has not run the request, or nothing was sent.
	notRun
	// failed: the target answered with a failure that is held in full.
	failed
	// lost: the connection was lost, or the answer was unusable; the request may have run.
	lost
	// left: the caller is gone, or its time is over.
	left
)

var endNames = [...]string{"delivered", "not run", "failed", "lost", "left"}

// String returns the name used in log lines.
func (e end) String() string { return endNames[e] }

// visit is a request at one target.
type visit struct {
	target  fleet.Target
	sent    time.Time
	end     end
	outcome sched.Outcome
	first   time.Duration
	held    *held
	err     error
}

// held is a whole answer that was not passed on yet.
type held struct {
	status int
	header http.Header
	body   []byte
}

// progress is what the caller has of the answer.
type progress struct {
	begun bool
	// last is the id of the last event that was passed on.
	last   string
	events int
}

// serve places the request, passes the answer on, and repeats where that is allowed.
func (r *Router) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	var prog progress
	var last *visit
	runs := 0
	r.request(c.service)
	c.job.Apart = r.assign(c)
	trial := c.job.Apart
	for n := 1; ; n++ {
		c.job.Begun = prog.begun
		d, err := r.wait(ctx, c.service, c.job)
		if err != nil || d.refused != nil {
			if last == nil {
				r.unassign(c, trial)
			}
			r.unplaced(w, c, d.refused, last, &prog, err)
			return
		}
		r.logPlaced(c, d, n)
		v := r.visit(ctx, w, c, d.target, &prog)
		r.done(c.service, d.target.ID, c.job, v.outcome)
		r.witness(c, v)
		c.job.Apart = false // another try goes to a version that is in use
		if v.end == delivered || v.end == left {
			r.finish(w, c, v, &prog, n)
			return
		}
		if v.end != notRun {
			runs++
		}
		last = v
		c.job.Avoid = append(c.job.Avoid, d.target.ID)
		if !r.mayRepeat(c, v, runs, n) {
			r.finish(w, c, v, &prog, n)
			return
		}
		r.meter.CountResent(c.service, v.end.String())
		r.log.Log(event.RequestResent, "id", c.ID, "target", d.target.ID, "after", v.end, "error", v.err, "events", prog.events, "try", n+1)
	}
}

// mayRepeat decides whether the request is sent to one more target.
func (r *Router) mayRepeat(c *call, v *visit, runs, places int) bool {
	now := time.Now()
	if places >= placesMax || !now.Before(c.end) || r.closing.Load() && v.end == notRun {
		return false
	}
	if v.end != notRun && (!c.route.Repeatable() || runs >= c.route.Attempts) {
		return false
	}
	if errors.Is(v.err, errUnreachable) {
		return true // nothing arrived anywhere
	}
	return r.budget(now, c.service)
}

// unplaced ends a request that found no target.
func (r *Router) unplaced(w http.ResponseWriter, c *call, ref *sched.Refusal, last *visit, prog *progress, err error) {
	if last != nil && last.end != notRun || prog.begun {
		r.finish(w, c, last, prog, len(c.job.Avoid))
		return
	}
	f := fault.NotRunf(fault.Deadline, "no target had room in time")
	if ref != nil {
		f = fault.NotRunf(fault.Shed, "%d requests go first, about %d ms", ref.Ahead, ref.Expected.Milliseconds())
		f.RetryAfter = r.spread(ref.After)
		r.meter.CountShed(c.job.Tier, fault.Shed)
	}
	if c.r.Context().Err() != nil {
		f = fault.NotRunf(fault.ClientDisconnected, "the caller left: %v", err)
	}
	r.refuse(w, c, f)
}

// spread varies a time by a quarter, so that callers do not come back together.
func (r *Router) spread(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + 0.5*r.rnd.Float64()))
}

// visit sends the request to one target and passes on what it answers.
func (r *Router) visit(ctx context.Context, w http.ResponseWriter, c *call, t fleet.Target, prog *progress) *visit {
	v := &visit{target: t, sent: time.Now()}
	rest := restStrict
	if c.route.Repeatable() {
		rest = restMax
	}
	vctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var alarm *time.Timer
	if c.route.Resume && c.route.Kind == route.Stream && c.route.Attempts > 1 {
		alarm = time.AfterFunc(r.silence(c, prog.begun), cancel)
		defer alarm.Stop()
	}
	x, err := r.send(vctx, t.Address, rest, r.outgoing(c, t, prog))
	if err != nil {
		v.fail(ctx, err)
		r.suspect(c, v)
		return v
	}
	whole := false
	defer func() { r.conns.finish(x, whole) }()
	switch {
	case x.answer.NotRun || x.answer.Other:
		v.end, v.outcome.Full, v.outcome.Replaced = notRun, !x.answer.Other, x.answer.Other
		v.err = errors.Errorf("status %d, not run", x.StatusCode)
		_, err = io.Copy(io.Discard, io.LimitReader(x.Body, answerMax))
		whole = err == nil
	case c.route.Kind == route.Stream && x.StatusCode/100 == 2:
		whole = r.stream(ctx, w, c, v, x, prog, alarm)
	default:
		whole = r.hold(ctx, c, v, x)
	}
	if v.end == delivered && v.held != nil {
		r.deliver(w, c, v.held)
	}
	r.suspect(c, v)
	return v
}

// silence is the time without an event after which a stream goes on elsewhere.
func (r *Router) silence(c *call, begun bool) time.Duration {
	if begun {
		return max(stall, 3*c.route.Gap)
	}
	return max(stall, 3*c.route.Aim)
}

// fail classifies an error of sending or reading.
func (v *visit) fail(ctx context.Context, err error) {
	v.err = err
	switch {
	case ctx.Err() != nil:
		v.end = left
	case errors.Is(err, errUnreachable):
		v.end, v.outcome.Unreachable = notRun, true
	default:
		v.end, v.outcome.Failed = lost, true
	}
}

// hold reads a whole answer and keeps it.
func (r *Router) hold(ctx context.Context, c *call, v *visit, x *exchange) (whole bool) {
	b, err := io.ReadAll(io.LimitReader(x.Body, answerMax+1))
	if err == nil && len(b) > answerMax {
		err = errors.Errorf("answer is larger than %d bytes", answerMax)
	}
	if err != nil {
		v.fail(ctx, err)
		return false
	}
	v.first = time.Since(v.sent)
	r.first(c.service, v.target.ID, c.job)
	v.held = &held{status: x.StatusCode, header: x.Header, body: b}
	v.end = delivered
	if x.StatusCode >= 500 {
		v.end, v.outcome.Failed = failed, true
		if !c.route.Repeatable() {
			v.end = delivered // the target's own failure is the answer
		}
	}
	return true
}

// stream passes events on as they arrive.
func (r *Router) stream(ctx context.Context, w http.ResponseWriter, c *call, v *visit, x *exchange, prog *progress, alarm *time.Timer) (whole bool) {
	rc := http.NewResponseController(w)
	e := newEvents(x.Body)
	var firstAt, lastAt time.Time
	for {
		b, err := e.next()
		if err != nil && err != io.EOF {
			v.fail(ctx, err)
			break
		}
		lastAt = time.Now()
		if firstAt.IsZero() {
			firstAt = lastAt
			v.first = lastAt.Sub(v.sent)
			r.first(c.service, v.target.ID, c.job)
		}
		if alarm != nil {
			alarm.Reset(r.silence(c, true))
		}
		if !prog.begun {
			prog.begun = true
			r.begin(w, c, x.StatusCode, x.Header)
		}
		_, werr := w.Write(b)
		if err == nil {
			prog.events++
			prog.last = e.last
		}
		if werr == nil && !e.more() {
			werr = rc.Flush()
		}
		if werr != nil {
			v.end, v.err = left, werr
			break
		}
		if err == io.EOF {
			v.end, whole = delivered, true
			break
		}
	}
	if e.n > 1 {
		v.outcome.Gap = lastAt.Sub(firstAt) / time.Duration(e.n-1)
	}
	return whole
}

// finish ends a request with what its last target did.
func (r *Router) finish(w http.ResponseWriter, c *call, v *visit, prog *progress, tries int) {
	now := time.Now()
	fields := []any{"id", c.ID, "target", v.target.ID, "end", v.end, "events", prog.events, "first", v.first.Milliseconds(), "ms", now.Sub(c.at).Milliseconds(), "tries", tries, "route", c.route.Name, "account", c.name()}
	if v.held != nil {
		fields = append(fields, "status", v.held.status)
	}
	if v.err != nil {
		fields = append(fields, "error", v.err)
	}
	r.log.Log(event.RequestEnded, fields...)
	if v.first > 0 {
		r.meter.RecordFirstToken(c.job.Tier, c.name(), c.service, v.sent.Add(v.first).Sub(c.at))
	}
	switch {
	case v.end == delivered:
		if v.sent.Add(v.first).Sub(c.at) <= c.route.Aim {
			r.meter.CountGoodput(c.job.Tier)
		}
	case prog.begun:
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	case v.end == failed:
		r.deliver(w, c, v.held)
	case v.end == notRun:
		r.refuse(w, c, retryAfter(fault.NotRunf(fault.Shed, "no target took the request: %v", v.err), r.spread(fullAfter)))
	default:
		f := &fault.Error{Run: fault.Unknown, Reason: fault.Target, Detail: "the target's answer was lost"}
		if !now.Before(c.end) {
			f.Detail, f.StatusOverride = "the target did not answer in time", http.StatusGatewayTimeout
		}
		r.refuse(w, c, f)
	}
}

// begin writes the head of an answer.
func (r *Router) begin(w http.ResponseWriter, c *call, status int, from http.Header) {
	_ = http.NewResponseController(w).SetWriteDeadline(c.end.Add(writeGrace)) // not supported by test recorders
	h := w.Header()
	for k, v := range from {
		if k != "Date" && k != "Content-Length" {
			h[k] = v
		}
	}
	strip(h, from)
	if r.stopping.Load() {
		h.Set("Connection", "close")
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h["Date"] = from["Date"]
	w.WriteHeader(status)
}

// deliver writes a whole answer.
func (r *Router) deliver(w http.ResponseWriter, c *call, a *held) {
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.begin(w, c, a.status, a.header)
	_, _ = w.Write(a.body) // the caller may be gone
}

// outgoing builds the request for a target.
func (r *Router) outgoing(c *call, t fleet.Target, prog *progress) outgoing {
	h := c.r.Header.Clone()
	strip(h, c.r.Header)
	h.Del("Content-Length")
	r.dialect.Forward(h, Forward{Left: time.Until(c.end), Target: t.ID, Account: c.name(), After: prog.last})
	return outgoing{id: c.ID, method: c.r.Method, uri: c.uri, host: c.r.Host, header: h, body: c.body}
}

// hops are the headers that concern one connection only.
var hops = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// strip removes headers that concern one connection only; from holds the list of further names.
func strip(h, from http.Header) {
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" {
				delete(h, name)
			}
		}
	}
	for _, name := range hops {
		delete(h, name)
	}
}
