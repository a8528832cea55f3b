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
	placementsMax = 4
	// stall is the shortest silence after which a stream that can be resumed goes on at another target.
	// Callers leave after two seconds.
	minStallTimeout = 1200 * time.Millisecond
	// writeGrace is the time after the end of a request in which its last bytes may be written.
	writeGrace = 500 * time.Millisecond
	// fullAfter is the time after which a caller may come back whose request all targets refused.
	allRefusedRetryAfter = 300 * time.Millisecond
)

// end is how a request ended at one target.
type attemptResult uint8

const (
	// delivered: the caller has the whole answer of the target.
	delivered attemptResult = iota
	// notRun: the target states that it has not run the request, or nothing was sent.
	notRun
	// failed: the target answered with a failure that is held in full.
	targetFailed
	// lost: the connection was lost, or the answer was unusable; the request may have run.
	answerLost
	// left: the caller is gone, or its time is over.
	abandoned
)

var attemptResultNames = [...]string{"delivered", "not run", "failed", "lost", "left"}

// String returns the name used in log lines.
func (e attemptResult) String() string { return attemptResultNames[e] }

// visit is a request at one target.
type attempt struct {
	target           fleet.Target
	sent             time.Time
	result           attemptResult
	outcome          sched.Outcome
	timeToFirstEvent time.Duration
	answer           *bufferedAnswer
	err              error
}

// held is a whole answer that was not passed on yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// progress is what the caller has of the answer.
type progress struct {
	started bool
	// last is the id of the last event that was passed on.
	lastID string
	events int
}

// serve places the request, passes the answer on, and repeats where that is allowed.
func (r *Router) serveCall(ctx context.Context, w http.ResponseWriter, c *call) {
	var prog progress
	var last *attempt
	runs := 0
	r.countRequest(c.service)
	c.job.Canary = r.assignCanary(c)
	trial := c.job.Canary
	for n := 1; ; n++ {
		c.job.AnswerStarted = prog.started
		d, err := r.awaitPlacement(ctx, c.service, c.job)
		if err != nil || d.refusal != nil {
			if last == nil {
				r.undoAssign(c, trial)
			}
			r.finishUnplaced(w, c, d.refusal, last, &prog, err)
			return
		}
		r.logPlacement(c, d, n)
		v := r.tryTarget(ctx, w, c, d.target, &prog)
		r.recordOutcome(c.service, d.target.ID, c.job, v.outcome)
		r.recordEvidence(c, v)
		c.job.Canary = false // another try goes to a version that is in use
		if v.result == delivered || v.result == abandoned {
			r.finish(w, c, v, &prog, n)
			return
		}
		if v.result != notRun {
			runs++
		}
		last = v
		c.job.Avoid = append(c.job.Avoid, d.target.ID)
		if !r.mayRetry(c, v, runs, n) {
			r.finish(w, c, v, &prog, n)
			return
		}
		r.meter.CountResent(c.service, v.result.String())
		r.log.Log(event.RequestResent, "id", c.ID, "target", d.target.ID, "after", v.result, "error", v.err, "events", prog.events, "try", n+1)
	}
}

// mayRepeat decides whether the request is sent to one more target.
func (r *Router) mayRetry(c *call, v *attempt, runs, places int) bool {
	now := time.Now()
	if places >= placementsMax || !now.Before(c.deadline) || r.closing.Load() && v.result == notRun {
		return false
	}
	if v.result != notRun && (!c.route.Repeatable() || runs >= c.route.Attempts) {
		return false
	}
	if errors.Is(v.err, errUnreachable) {
		return true // nothing arrived anywhere
	}
	return r.allowRetry(now, c.service)
}

// unplaced ends a request that found no target.
func (r *Router) finishUnplaced(w http.ResponseWriter, c *call, ref *sched.Refusal, last *attempt, prog *progress, err error) {
	if last != nil && last.result != notRun || prog.started {
		r.finish(w, c, last, prog, len(c.job.Avoid))
		return
	}
	f := fault.NotRunf(fault.Deadline, "no target had room in time")
	if ref != nil {
		f = fault.NotRunf(fault.Shed, "%d requests go first, about %d ms", ref.JobsAhead, ref.ExpectedWait.Milliseconds())
		f.RetryAfter = r.jitter(ref.RetryAfter)
		r.meter.CountShed(c.job.Tier, fault.Shed)
	}
	if c.r.Context().Err() != nil {
		f = fault.NotRunf(fault.ClientDisconnected, "the caller left: %v", err)
	}
	r.refuse(w, c, f)
}

// spread varies a time by a quarter, so that callers do not come back together.
func (r *Router) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + 0.5*r.rnd.Float64()))
}

// visit sends the request to one target and passes on what it answers.
func (r *Router) tryTarget(ctx context.Context, w http.ResponseWriter, c *call, t fleet.Target, prog *progress) *attempt {
	v := &attempt{target: t, sent: time.Now()}
	rest := maxIdleUnsafe
	if c.route.Repeatable() {
		rest = maxIdleRepeatable
	}
	vctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var alarm *time.Timer
	if c.route.Resumable && c.route.Kind == route.Stream && c.route.Attempts > 1 {
		alarm = time.AfterFunc(r.stallTimeout(c, prog.started), cancel)
		defer alarm.Stop()
	}
	x, err := r.send(vctx, t.Address, rest, r.newTargetRequest(c, t, prog))
	if err != nil {
		v.setError(ctx, err)
		r.recordAnswerEnd(c, v)
		return v
	}
	whole := false
	defer func() { r.conns.release(x, whole) }()
	switch {
	case x.answer.NotRun || x.answer.Misdirected:
		v.result, v.outcome.Full, v.outcome.Replaced = notRun, !x.answer.Misdirected, x.answer.Misdirected
		v.err = errors.Errorf("status %d, not run", x.StatusCode)
		_, err = io.Copy(io.Discard, io.LimitReader(x.Body, answerMax))
		whole = err == nil
	case c.route.Kind == route.Stream && x.StatusCode/100 == 2:
		whole = r.streamAnswer(ctx, w, c, v, x, prog, alarm)
	default:
		whole = r.bufferAnswer(ctx, c, v, x)
	}
	if v.result == delivered && v.answer != nil {
		r.writeAnswer(w, c, v.answer)
	}
	r.recordAnswerEnd(c, v)
	return v
}

// silence is the time without an event after which a stream goes on elsewhere.
func (r *Router) stallTimeout(c *call, begun bool) time.Duration {
	if begun {
		return max(minStallTimeout, 3*c.route.EventGapGoal)
	}
	return max(minStallTimeout, 3*c.route.FirstEventGoal)
}

// fail classifies an error of sending or reading.
func (v *attempt) setError(ctx context.Context, err error) {
	v.err = err
	switch {
	case ctx.Err() != nil:
		v.result = abandoned
	case errors.Is(err, errUnreachable):
		v.result, v.outcome.Unreachable = notRun, true
	default:
		v.result, v.outcome.Failed = answerLost, true
	}
}

// hold reads a whole answer and keeps it.
func (r *Router) bufferAnswer(ctx context.Context, c *call, v *attempt, x *exchange) (whole bool) {
	b, err := io.ReadAll(io.LimitReader(x.Body, answerMax+1))
	if err == nil && len(b) > answerMax {
		err = errors.Errorf("answer is larger than %d bytes", answerMax)
	}
	if err != nil {
		v.setError(ctx, err)
		return false
	}
	v.timeToFirstEvent = time.Since(v.sent)
	r.recordFirstEvent(c.service, v.target.ID, c.job)
	v.answer = &bufferedAnswer{status: x.StatusCode, header: x.Header, body: b}
	v.result = delivered
	if x.StatusCode >= 500 {
		v.result, v.outcome.Failed = targetFailed, true
		if !c.route.Repeatable() {
			v.result = delivered // the target's own failure is the answer
		}
	}
	return true
}

// stream passes events on as they arrive.
func (r *Router) streamAnswer(ctx context.Context, w http.ResponseWriter, c *call, v *attempt, x *exchange, prog *progress, alarm *time.Timer) (whole bool) {
	rc := http.NewResponseController(w)
	e := newEventReader(x.Body)
	var firstAt, lastAt time.Time
	for {
		b, err := e.next()
		if err != nil && err != io.EOF {
			v.setError(ctx, err)
			break
		}
		lastAt = time.Now()
		if firstAt.IsZero() {
			firstAt = lastAt
			v.timeToFirstEvent = lastAt.Sub(v.sent)
			r.recordFirstEvent(c.service, v.target.ID, c.job)
		}
		if alarm != nil {
			alarm.Reset(r.stallTimeout(c, true))
		}
		if !prog.started {
			prog.started = true
			r.writeHead(w, c, x.StatusCode, x.Header)
		}
		_, werr := w.Write(b)
		if err == nil {
			prog.events++
			prog.lastID = e.lastID
		}
		if werr == nil && !e.hasBuffered() {
			werr = rc.Flush()
		}
		if werr != nil {
			v.result, v.err = abandoned, werr
			break
		}
		if err == io.EOF {
			v.result, whole = delivered, true
			break
		}
	}
	if e.count > 1 {
		v.outcome.Gap = lastAt.Sub(firstAt) / time.Duration(e.count-1)
	}
	return whole
}

// finish ends a request with what its last target did.
func (r *Router) finish(w http.ResponseWriter, c *call, v *attempt, prog *progress, tries int) {
	now := time.Now()
	fields := []any{"id", c.ID, "target", v.target.ID, "end", v.result, "events", prog.events, "first", v.timeToFirstEvent.Milliseconds(), "ms", now.Sub(c.arrived).Milliseconds(), "tries", tries, "route", c.route.Name, "account", c.accountName()}
	if v.answer != nil {
		fields = append(fields, "status", v.answer.status)
	}
	if v.err != nil {
		fields = append(fields, "error", v.err)
	}
	r.log.Log(event.RequestEnded, fields...)
	if v.timeToFirstEvent > 0 {
		r.meter.RecordFirstToken(c.job.Tier, c.accountName(), c.service, v.sent.Add(v.timeToFirstEvent).Sub(c.arrived))
	}
	switch {
	case v.result == delivered:
		if v.sent.Add(v.timeToFirstEvent).Sub(c.arrived) <= c.route.FirstEventGoal {
			r.meter.CountGoodput(c.job.Tier)
		}
	case prog.started:
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	case v.result == targetFailed:
		r.writeAnswer(w, c, v.answer)
	case v.result == notRun:
		r.refuse(w, c, withRetryAfter(fault.NotRunf(fault.Shed, "no target took the request: %v", v.err), r.jitter(allRefusedRetryAfter)))
	default:
		f := &fault.Error{Run: fault.Unknown, Reason: fault.Target, Detail: "the target's answer was lost"}
		if !now.Before(c.deadline) {
			f.Detail, f.StatusOverride = "the target did not answer in time", http.StatusGatewayTimeout
		}
		r.refuse(w, c, f)
	}
}

// begin writes the head of an answer.
func (r *Router) writeHead(w http.ResponseWriter, c *call, status int, from http.Header) {
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeGrace)) // not supported by test recorders
	h := w.Header()
	for k, v := range from {
		if k != "Date" && k != "Content-Length" {
			h[k] = v
		}
	}
	stripHopHeaders(h, from)
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
func (r *Router) writeAnswer(w http.ResponseWriter, c *call, a *bufferedAnswer) {
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.writeHead(w, c, a.status, a.header)
	_, _ = w.Write(a.body) // the caller may be gone
}

// outgoing builds the request for a target.
func (r *Router) newTargetRequest(c *call, t fleet.Target, prog *progress) targetRequest {
	h := c.r.Header.Clone()
	stripHopHeaders(h, c.r.Header)
	h.Del("Content-Length")
	r.dialect.SetForwardHeaders(h, Forward{Remaining: time.Until(c.deadline), Target: t.ID, Account: c.accountName(), LastEventID: prog.lastID})
	return targetRequest{id: c.ID, method: c.r.Method, uri: c.uri, host: c.r.Host, header: h, body: c.body}
}

// hops are the headers that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// strip removes headers that concern one connection only; from holds the list of further names.
func stripHopHeaders(h, from http.Header) {
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" {
				delete(h, name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
