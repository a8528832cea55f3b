package direct

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/header"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/sse"
	"hickoryvane.example/router/dial"
)

const (
	// refusalBodyMax limits the body that is read of an answer which states that the request has not run, in bytes.
	refusalBodyMax = 64 << 10
	// placementsMax limits the targets that a request is sent to, including those that did not run it.
	placementsMax = 4
	// earlyGapEvents is the number of events after which the speed of a target is recorded while the answer runs.
	earlyGapEvents = 8
	// writeGrace is the time after the deadline of a request in which its last bytes may be written.
	writeGrace = 500 * time.Millisecond
	// allRefusedRetryAfter is the time after which a caller may retry a request that all targets refused.
	allRefusedRetryAfter = 300 * time.Millisecond
)

// attemptResult is how a request ended at one target.
type attemptResult uint8

const (
	// delivered: the caller has the complete answer of the target.
	delivered attemptResult = iota
	// notRun: the target states that it has not run the request, or nothing was sent to it.
	notRun
	// targetFailed: the target answered with a failure, which is buffered completely.
	targetFailed
	// answerLost: the connection was lost, or the answer was unusable; the request may have run.
	answerLost
	// abandoned: the caller disconnected, or the deadline of the request passed.
	abandoned
)

var attemptResultNames = [...]string{"delivered", "not run", "failed", "lost", "left"}

// String returns the name used in log lines.
func (a attemptResult) String() string { return attemptResultNames[a] }

// attempt is one sending of a request to a target.
type attempt struct {
	target           fleet.Target
	sent             time.Time
	result           attemptResult
	outcome          sched.Outcome
	timeToFirstEvent time.Duration
	// events is the number of events that the target sent. passed is true once the request has clearly not crashed the
	// target; sound is true for a complete answer that is a success.
	events        int
	passed, sound bool
	// activity is that of the target. connected is true once the request is written to a connection; unsuspected is true
	// if the target was silent before.
	activity               *targetActivity
	connected, unsuspected bool
	// answer is a buffered answer, whose memory release gives back; nil without one.
	answer  *bufferedAnswer
	release func()
	err     error
}

// survived reports whether the target gave a complete answer that is no failure of its own.
func (a *attempt) survived() bool { return a.answer != nil && a.answer.status < 500 }

// measure sets what the times between events tell.
func (a *attempt) measure(p *sse.Pace, now time.Time) {
	a.outcome.Gap, a.outcome.Pauses = p.Gap(), p.Pauses
	a.outcome.Resumed = p.Longest
	a.outcome.Streamed, a.outcome.Silence = p.Streamed(now)
}

// bufferedAnswer is a complete answer that was not forwarded yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// progress is the part of the answer that was forwarded to the caller, and what became of earlier attempts.
type progress struct {
	started bool
	// format is that of the first target's answer; it is set once started is true.
	format sse.Format
	// lastID is the id of the last event that was forwarded.
	lastID string
	events int
	// placements counts the attempts, runs those in which the request may have run; lastRun is the last of these.
	placements, runs int
	lastRun          *attempt
	// addresses are those to which the request was sent.
	addresses []string
	// spareRetries are reserved retries for which the budget is not asked again.
	spareRetries int
}

// resumable reports whether another target can be told where to go on. It cannot after events without an id.
func (p *progress) resumable() bool { return p.events == 0 || p.lastID != "" }

// maxIdle returns the idle time up to which a connection to addr may be reused for the request. What an address that
// had the request before wrote on its connections can be about that earlier send, with the same id.
func (p *progress) maxIdle(c *call, addr string) time.Duration {
	if slices.Contains(p.addresses, addr) {
		return 0
	}
	return c.maxIdle()
}

// result returns the attempt that decides what the caller is told. A request that may have run earlier has not
// become one that never ran because the last target refused it.
func (p *progress) result(last *attempt) *attempt {
	if last != nil && last.result == notRun && p.lastRun != nil {
		return p.lastRun
	}
	return last
}

// serveCall places the request, forwards the answer, and retries where that is allowed.
func (r *Router) serveCall(ctx context.Context, w http.ResponseWriter, c *call) {
	var prog progress
	var last *attempt
	var next *decision // a placement that was reserved while the last attempt was stalled
	r.countRequest(c.service)
	c.job.Canary = r.assignCanary(c)
	canary := c.job.Canary
	defer func() { r.returnRetries(c.service, prog.spareRetries) }()
	defer func() { r.endTrial(c, nil) }()
	for {
		c.job.AnswerStarted = prog.started
		var d decision
		var err error
		var blocked *fault.Error
		if next != nil {
			d, next = *next, nil
		} else if blocked = r.awaitTrial(ctx, c); blocked == nil {
			d, err = r.awaitPlacement(ctx, c.service, c.job)
		}
		if blocked == nil {
			blocked = r.releaseIfBlocked(c, d)
		}
		if err != nil || d.refusal != nil || blocked != nil {
			if last == nil {
				r.undoAssign(c, canary)
			}
			r.finishUnplaced(w, c, d.refusal, blocked, last, &prog, err)
			return
		}
		if r.releaseIfClosed(c, d) || r.releaseIfOnTrial(c, d) {
			continue
		}
		prog.placements++
		r.logPlacement(c, d, prog.placements)
		var a *attempt
		a, next = r.tryTarget(ctx, w, c, d.target, &prog)
		if a.release != nil {
			defer a.release() // a buffered failure may still be written after later attempts
		}
		r.endTrial(c, a)
		if next != nil {
			prog.spareRetries += next.spareRetries
		}
		r.recordOutcome(c.service, d.target.ID, c.job, a.outcome)
		r.recordEvidence(c, a)
		c.job.Canary = false // a retry goes to a version that is in use
		if next != nil && (a.result != answerLost || !prog.resumable()) {
			r.releasePlacement(c, *next) // the answer ended after all, or nothing can follow it
			next = nil
		}
		if a.result == delivered || a.result == abandoned {
			r.finish(w, c, a, &prog)
			return
		}
		if a.result != notRun {
			prog.runs++
			prog.lastRun = a
		}
		last = a
		c.job.Avoid = append(c.job.Avoid, d.target.ID)
		if next == nil && !r.mayRetry(c, a, &prog) {
			r.finish(w, c, a, &prog)
			return
		}
		r.meter.CountResent(c.service, a.result.String())
		r.log.Log(event.RequestResent, "id", c.ID, "target", d.target.ID, "after", a.result, "error", a.err, "events", prog.events, "try", prog.placements+1)
	}
}

// mayRetry decides whether the request is sent to one more target.
func (r *Router) mayRetry(c *call, a *attempt, prog *progress) bool {
	now := time.Now()
	if prog.placements >= placementsMax || !prog.resumable() || !now.Before(c.deadline) || r.closing.Load() && a.result == notRun && prog.runs == 0 {
		return false
	}
	if a.result != notRun && (!c.route.Repeatable() || prog.runs >= c.route.Attempts) {
		return false
	}
	if errors.Is(a.err, dial.ErrUnreachable) {
		return true // nothing was sent, so it costs no retry budget
	}
	if a.result == notRun && prog.spareRetries > 0 {
		prog.spareRetries--
		return true
	}
	return r.allowRetry(now, c.service)
}

// finishUnplaced ends a request that found no target.
func (r *Router) finishUnplaced(w http.ResponseWriter, c *call, ref *sched.Refusal, blocked *fault.Error, last *attempt, prog *progress, err error) {
	switch {
	case prog.runs > 0 || prog.started:
		r.finish(w, c, last, prog)
		return
	case blocked != nil:
		r.refuse(w, c, blocked)
		return
	}
	f := fault.NotRunf(fault.Deadline, "no target had room in time")
	switch {
	case ref != nil && ref.Stopping:
		f = withRetryAfter(fault.NotRunf(fault.Draining, "this process stops before the answer would end"), r.timeUntilRestart(time.Now()))
	case ref != nil:
		f = fault.NotRunf(fault.Shed, "%d requests go first, about %d ms", ref.JobsAhead, ref.ExpectedWait.Milliseconds())
		f.RetryAfter = r.jitter(ref.RetryAfter)
		if ref.Untargeted {
			f.RetryAfter = max(f.RetryAfter, ref.RetryAfter)
			f.Detail = "no target takes requests now"
		}
		r.meter.CountShed(c.job.Tier, fault.Shed)
	}
	switch {
	case c.r.Context().Err() != nil:
		f = fault.NotRunf(fault.ClientDisconnected, "the caller left: %v", err)
	case ref == nil && r.requestsEnded.Err() != nil:
		f = withRetryAfter(fault.NotRunf(fault.Draining, "this process stops"), r.timeUntilRestart(time.Now()))
	}
	r.refuse(w, c, f)
}

// jitter varies a time by up to a quarter, so that callers do not retry all at once.
func (r *Router) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + 0.5*r.rnd.Float64()))
}

// tryTarget sends the request to one target and forwards its answer. next is a placement at another target, if one
// was reserved because the target stalled.
func (r *Router) tryTarget(ctx context.Context, w http.ResponseWriter, c *call, t fleet.Target, prog *progress) (a *attempt, next *decision) {
	a = &attempt{target: t, sent: time.Now()}
	maxIdle := prog.maxIdle(c, t.Address)
	prog.addresses = append(prog.addresses, t.Address)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := r.watchStall(attemptCtx, cancel, c, t, prog)
	defer func() { next = stall.stop() }()
	a.activity = stall.shared
	req := r.newTargetRequest(c, t, prog)
	req.connected = func() { r.addUnanswered(c, a) }
	x, err := r.send(attemptCtx, t.Address, maxIdle, req)
	r.removeUnanswered(a)
	if err != nil {
		a.setError(ctx, err)
		r.recordAnswerEnd(c, a)
		return a, nil
	}
	r.recordLife(t.ID, a.activity)
	r.recordRate(t, x.answer)
	if !c.route.Repeatable() && !x.refused(c.ID) && x.hasWritten() {
		c.body.Release() // the request is not sent again
	}
	complete := false
	defer func() { r.release(x, complete) }()
	switch {
	case x.refused(c.ID):
		a.result, a.outcome.Full, a.outcome.Replaced = notRun, !x.answer.Misdirected, x.answer.Misdirected
		a.err = errors.Errorf("status %d, not run", x.StatusCode)
		n, err := io.Copy(io.Discard, io.LimitReader(x.Body, refusalBodyMax))
		complete = err == nil && n < refusalBodyMax
	case prog.started && sse.FormatOf(x.StatusCode, x.Header) != prog.format:
		a.result, a.outcome.Failed = answerLost, true
		a.err = errors.Errorf("status %d with content type %.100q is not the rest of the stream", x.StatusCode, x.Header.Get("Content-Type"))
	case c.route.Kind == route.Stream && x.StatusCode/100 == 2:
		complete = r.streamAnswer(ctx, w, c, a, x, prog, stall)
	default:
		complete, a.release = r.bufferAnswer(ctx, c, a, x)
	}
	r.recordAnswerEnd(c, a)
	return a, nil
}

// setError classifies an error of sending or reading.
func (a *attempt) setError(ctx context.Context, err error) {
	a.err = err
	switch {
	case ctx.Err() != nil:
		a.result = abandoned
	case errors.Is(err, dial.ErrUnreachable):
		a.result, a.outcome.Unreachable, a.outcome.Refused = notRun, true, errors.Is(err, dial.ErrRefused)
	default:
		a.result, a.outcome.Failed, a.outcome.Lost = answerLost, true, isConnectionEnd(err)
	}
}

// bufferAnswer reads the complete answer into memory. The caller calls release when it no longer needs the answer.
func (r *Router) bufferAnswer(ctx context.Context, c *call, a *attempt, x *exchange) (complete bool, release func()) {
	b, release, err := r.memory.ReadAll(x.Body)
	if err == nil && x.endsEarly() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		a.setError(ctx, err)
		return false, release
	}
	a.timeToFirstEvent = time.Since(a.sent)
	r.recordFirstEvent(c.service, a.target.ID, c.job)
	a.answer = &bufferedAnswer{status: x.StatusCode, header: x.Header, body: b}
	a.result = delivered
	a.sound = x.StatusCode/100 == 2 && x.framed()
	a.outcome.Complete = a.sound
	if x.StatusCode >= 500 {
		a.result, a.outcome.Failed = targetFailed, true
		if !c.route.Repeatable() {
			a.result = delivered // the failure of the target is the answer
		}
	}
	if promisesNotRun(x.StatusCode) {
		// The target does not state that it has not run the request, so the status must not reach the caller.
		a.result, a.answer, a.err = answerLost, nil, errors.Errorf("status %d without the statement that the request has not run", x.StatusCode)
	}
	return true, release
}

// promisesNotRun reports whether callers take a status as the promise that their request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// streamAnswer forwards events as they arrive.
func (r *Router) streamAnswer(ctx context.Context, w http.ResponseWriter, c *call, a *attempt, x *exchange, prog *progress, stall *stallWatch) (complete bool) {
	rc := http.NewResponseController(w)
	e, format := sse.New(x.Body), sse.FormatOf(x.StatusCode, x.Header)
	rest, after := prog.started, prog.lastID
	pace := sse.NewPace(c.route.EventGapGoal)
	for {
		b, isEvent, err := e.Next()
		switch {
		case err == io.EOF && x.endsEarly():
			err = io.ErrUnexpectedEOF
		case err == io.EOF:
			err = e.End(b, format, x.framed() && !rest)
		case err == nil && isEvent && rest && !sse.Follows(e.LastID, after):
			err = errors.Errorf("the event with id %.20q does not follow the one with id %.20q", e.LastID, after)
		}
		if err != nil && err != io.EOF {
			a.setError(ctx, err)
			break
		}
		if isEvent {
			now := time.Now()
			sinceFirst := pace.Record(now)
			if e.Count == 1 {
				a.timeToFirstEvent = now.Sub(a.sent)
				r.recordFirstEvent(c.service, a.target.ID, c.job)
			}
			stall.recordEvent(now)
			if !a.passed && sinceFirst >= passTime {
				r.recordPass(c, a)
			}
			if e.Count == earlyGapEvents {
				a.measure(pace, now)
				r.recordEventGap(c.service, a.target.ID, a.outcome)
			}
		}
		if !prog.started {
			prog.started, prog.format = true, format
			bufferWrites(c.r)
			r.writeHead(w, c, x.StatusCode, x.Header)
		}
		_, werr := w.Write(b)
		if err == nil && isEvent {
			prog.events++
			if prog.lastID = e.LastID; !prog.resumable() {
				stall.stop()
			}
		}
		if werr == nil && !e.HasBuffered() {
			werr = rc.Flush()
		}
		if werr != nil {
			a.result, a.err = abandoned, werr
			break
		}
		if isEvent {
			stall.recordWritten(time.Now())
		}
		if err == io.EOF {
			a.result, complete, a.sound = delivered, true, x.framed()
			break
		}
	}
	a.events = e.Count
	a.measure(pace, time.Now())
	if complete && prog.runs == 0 {
		a.outcome.Events = e.Count
	}
	return complete
}

// finish ends a request with the result of its last attempt, or of the last one in which it may have run.
func (r *Router) finish(w http.ResponseWriter, c *call, last *attempt, prog *progress) {
	now := time.Now()
	a := prog.result(last)
	fields := []any{"id", c.ID, "target", a.target.ID, "end", a.result, "events", prog.events, "first", a.timeToFirstEvent.Milliseconds(), "ms", now.Sub(c.arrived).Milliseconds(), "pauses", a.outcome.Pauses, "silence", a.outcome.Silence.Milliseconds(), "tries", prog.placements, "route", c.route.Name, "account", c.accountName()}
	if a.answer != nil {
		fields = append(fields, "status", a.answer.status)
	}
	if a.err != nil {
		fields = append(fields, "error", a.err)
	}
	if a.result == abandoned {
		fields = append(fields, "from", c.r.RemoteAddr)
	}
	r.log.Log(event.RequestEnded, fields...)
	if a.timeToFirstEvent > 0 {
		r.meter.RecordFirstToken(c.job.Tier, c.accountName(), c.service, a.sent.Add(a.timeToFirstEvent).Sub(c.arrived))
	}
	switch {
	case a.result == delivered:
		if a.answer != nil {
			r.writeAnswer(w, c, a.answer) // the target has its slot back, however slowly the caller reads
		}
		if a.sent.Add(a.timeToFirstEvent).Sub(c.arrived) <= c.route.FirstEventGoal {
			r.meter.CountGoodput(c.job.Tier)
		}
	case prog.started:
		resetUnframed(c.r)
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	case a.result == targetFailed:
		r.writeAnswer(w, c, a.answer)
	case a.result == notRun:
		r.refuse(w, c, withRetryAfter(fault.NotRunf(fault.Shed, "no target took the request: %v", a.err), max(r.jitter(allRefusedRetryAfter), r.untilTargetResumes(c))))
	default:
		f := &fault.Error{Run: fault.Unknown, Reason: fault.Target, Detail: "the target's answer was lost"}
		switch {
		case !now.Before(c.deadline):
			f.Detail, f.StatusOverride = "the target did not answer in time", http.StatusGatewayTimeout
		case r.requestsEnded.Err() != nil:
			f.Detail = "this process stopped before the target answered"
		}
		r.refuse(w, c, f)
	}
}

// writeHead writes the status and headers of an answer.
func (r *Router) writeHead(w http.ResponseWriter, c *call, status int, from http.Header) {
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeGrace)) // test recorders do not support it
	h := w.Header()
	for k, v := range from {
		if k != "Date" && k != "Content-Length" {
			h[k] = v
		}
	}
	header.StripHop(h, from)
	if r.stopping.Load() {
		h.Set("Connection", "close")
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h["Date"] = from["Date"]
	w.WriteHeader(status)
}

// writeAnswer writes a buffered answer.
func (r *Router) writeAnswer(w http.ResponseWriter, c *call, a *bufferedAnswer) {
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.writeHead(w, c, a.status, a.header)
	_, _ = w.Write(a.body) // the caller may have disconnected
}

// newTargetRequest builds the request for a target.
func (r *Router) newTargetRequest(c *call, t fleet.Target, prog *progress) targetRequest {
	h := c.r.Header.Clone()
	header.StripHop(h, c.r.Header)
	h.Del("Content-Length")
	r.dialect.SetForwardHeaders(h, Forward{Remaining: time.Until(c.deadline), Target: t.ID, Account: c.accountName(), LastEventID: prog.lastID})
	return targetRequest{
		id: c.ID, method: c.r.Method, uri: c.uri, host: c.r.Host, header: h, body: c.body.Chunks, bodySize: c.body.Size,
		observe: func(a Answer) { r.recordStatements(c, t, a) },
	}
}
