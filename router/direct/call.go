package direct

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/budget"
	"hickoryvane.example/core/comeback"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fair"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
)

// call is one request of a caller while this router handles it.
type call struct {
	Call
	r                 *http.Request
	arrived, deadline time.Time
	route             *route.Route
	service           ident.Service
	account           *route.Account
	// tokens is the number of tokens charged to the account, and quotaLevel what remained in it afterwards.
	tokens, quotaLevel ident.Tokens
	body               *budget.Body
	// features are what the request may have in common with others that crash targets; the first is its content.
	features []ident.Fingerprint
	// onTrial is true while the request may be sent as a trial.
	onTrial bool
	job     *sched.Job
	// uri is the path and query as the caller sent them.
	uri string
	// unread is true if the body was refused before all of it was read.
	unread bool
}

// ServeHTTP implements http.Handler for requests of callers.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.activeRequests.Add(1)
	defer r.activeRequests.Add(-1)
	c := &call{Call: r.dialect.Call(req.Header), r: req, arrived: time.Now(), uri: req.RequestURI}
	w.Header()["Date"] = nil
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() { c.body.Release() }()
	if f := r.admit(w, c); f != nil {
		r.refuse(w, c, f)
		c.discardBody(w)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(r.requestsEnded, cancel)()
	r.serveCall(ctx, w, c)
}

// admit reads the request and decides whether it may be queued for a target.
func (r *Router) admit(w http.ResponseWriter, c *call) *fault.Error {
	table := r.table.Load()
	switch {
	case table == nil:
		return withRetryAfter(fault.NotRunf(fault.Config, "no configuration is known yet"), time.Second)
	case !r.joined.Load():
		return withRetryAfter(fault.NotRunf(fault.Config, "the configuration is not compared with those of the other routers yet"), joinTime)
	case r.closing.Load():
		return withRetryAfter(fault.NotRunf(fault.Draining, "this process stops"), 10*time.Millisecond)
	}
	if f := c.checkHeader(r.headerMax()); f != nil {
		return f
	}
	path, _, _ := strings.Cut(c.uri, "?")
	if c.route = table.Match(c.r.Host, path); c.route == nil {
		return fault.NotRunf(fault.Route, "no route matches in generation %d", table.Generation)
	}
	if f := c.findAccount(table); f != nil {
		return f
	}
	if f := r.readBody(w, c, table); f != nil {
		return f
	}
	c.chooseService()
	c.setFeatures()
	c.makeJob(table)
	return r.checkLimits(c)
}

// defaultHeaderMax limits the headers of a request, in bytes, when the configuration does not.
const defaultHeaderMax = 64 << 10

// checkHeader refuses a request whose request line and headers are larger than the configuration allows. White space after
// the colon of a header line is optional (RFC 9110) and not known here, so it is not counted.
func (c *call) checkHeader(limit int) *fault.Error {
	n := len(c.r.Method) + len(c.uri) + len(" HTTP/1.1\r\n") + 1 + len("Host:\r\n") + len(c.r.Host)
	for k, values := range c.r.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(":\r\n")
		}
	}
	if n <= limit {
		return nil
	}
	f := fault.NotRunf(fault.Invalid, "the headers have %d bytes; the limit is %d", n, limit)
	f.StatusOverride = http.StatusRequestHeaderFieldsTooLarge
	return f
}

// chooseService chooses the service by a hash of the request's id, so that the same request always goes to the
// same one.
func (c *call) chooseService() {
	c.service = c.route.ChooseService(float64(xxhash.Sum64String(string(c.ID))>>11) / (1 << 53))
}

// timeUntilRestart returns the time until this process is expected to be running again after its shutdown.
func (r *Router) timeUntilRestart(now time.Time) time.Duration {
	if end := r.shutdownDeadline.Load(); end != nil {
		return max(end.Sub(now), 0) + restartTime
	}
	return restartTime
}

// restartTime is the time that the platform takes to restart a process and send callers to it.
const restartTime = 2 * time.Second

// findAccount finds the account of the caller's key.
func (c *call) findAccount(table *route.Table) *fault.Error {
	if c.Key != "" {
		c.account = table.Account(c.Key)
	}
	if c.account == nil && table.RequiresKey() && !c.route.Public {
		return fault.NotRunf(fault.Auth, "the key is not known in generation %d", table.Generation)
	}
	return nil
}

// readBody reads the complete body, so that the request can be sent again to another target. A body for which there is no
// memory is refused, before it is read if its length is declared.
func (r *Router) readBody(w http.ResponseWriter, c *call, table *route.Table) (f *fault.Error) {
	limit := int64(table.Limits.BodyBytesMax)
	if limit <= 0 {
		limit = defaultBodyMax
	}
	declared := c.r.ContentLength
	tooLarge := func() *fault.Error {
		f := fault.NotRunf(fault.Invalid, "the body is larger than %d bytes", limit)
		f.StatusOverride = http.StatusRequestEntityTooLarge
		return f
	}
	if declared > limit {
		c.unread = true
		return tooLarge()
	}
	b, err := r.memory.NewBody(c.accountName(), declared)
	if err == nil {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(c.arrived.Add(c.timeout())) // test recorders do not support it
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
		c.body = b
		err = b.Fill(c.r.Body, declared, limit)
	}
	switch {
	case errors.Is(err, budget.ErrBodyMemory):
		c.unread = true
		return withRetryAfter(fault.NotRunf(fault.Shed, "%v", err), bodyRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.unread = true
		return fault.NotRunf(fault.Deadline, "the body was not read within the time of the request")
	case err != nil:
		f = fault.NotRunf(fault.ClientDisconnected, "the body ended early: %v", err)
		f.StatusOverride = http.StatusBadRequest
		return f
	case b.Size > limit:
		c.unread = true
		return tooLarge()
	}
	return nil
}

const (
	// bodyRetryAfter is the time after which the caller of a request may retry whose body found no memory: that of some
	// answers to others.
	bodyRetryAfter = 500 * time.Millisecond
	// discardTime limits the reading of a body that was refused.
	discardTime = 2 * time.Second
)

// discardBody reads the rest of a body that was refused, after the refusal was written: the close of a connection with
// unread bytes could take the refusal from a caller who is still sending.
func (c *call) discardBody(w http.ResponseWriter) {
	if !c.unread || c.r.Header.Get("Expect") != "" {
		return
	}
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, c.r.Body) // the caller may have left
	_ = rc.SetReadDeadline(time.Time{})
}

// defaultBodyMax limits a body, in bytes, when the configuration does not.
const defaultBodyMax = 4 << 20

// timeout returns the time limit of the request: the caller's or the default, but at most the route's.
func (c *call) timeout() time.Duration {
	d := c.Timeout
	if d <= 0 {
		d = defaultTimeout
	}
	if t := c.route.Timeout; t > 0 {
		d = min(d, t)
	}
	return d
}

// makeJob sets the deadline of the request and makes its job for the pool.
func (c *call) makeJob(table *route.Table) {
	c.deadline = c.arrived.Add(c.timeout())
	tier := c.route.Tier
	if c.account != nil && c.account.HasTier {
		tier = c.account.Tier
	}
	due := c.arrived.Add(c.route.FirstEventGoal)
	if c.route.FirstEventGoal <= 0 || due.After(c.deadline) {
		due = c.deadline
	}
	c.job = &sched.Job{ID: c.ID, Tier: tier, RouteTier: c.route.Tier, Arrived: c.arrived, FirstEventDue: due, Deadline: c.deadline, Prompt: c.Prompt, Output: c.expectedOutput(), OutputMax: c.MaxOutput, Stride: table.Services[c.service].TokensPerEvent, Stream: c.route.Kind == route.Stream, GapGoal: c.route.EventGapGoal, Parts: c.Parts, MaxIdle: c.maxIdle(), Homes: c.homes()}
}

// recognizeRetry makes the first event of a retry due as long after the caller's first attempt as that of any other
// request.
func (c *call) recognizeRetry(d *comeback.Detector) {
	age := d.Observe(comeback.Source{Route: c.route.Name, Account: c.accountName()}, c.Timeout)
	if age <= 0 || c.route.FirstEventGoal <= 0 {
		return
	}
	if due := c.arrived.Add(c.route.FirstEventGoal - age); due.Before(c.job.FirstEventDue) {
		c.job.FirstEventDue = due
	}
}

// homes returns the regions in which the request may be served.
func (c *call) homes() avail.Homes {
	if c.account == nil {
		return avail.HomesOf(c.route.HomeRegions, nil)
	}
	return avail.HomesOf(c.route.HomeRegions, c.account.HomeRegions)
}

// expectedOutput returns the expected tokens of the answer. Callers' estimates are exact at the median; answers
// are much shorter than the maximum length that callers allow.
func (c *call) expectedOutput() ident.Tokens {
	if c.OutputHint > 0 {
		return c.OutputHint
	}
	return c.MaxOutput / 4
}

// checkLimits refuses a request that would crash targets, and charges the request's tokens to its account.
func (r *Router) checkLimits(c *call) *fault.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.checkBlocked(c.arrived, c); f != nil {
		return f
	}
	c.recognizeRetry(r.comebacks)
	if c.account == nil {
		return nil
	}
	n := c.account.DefaultTokens
	if c.HasTokenCounts {
		n = c.Prompt + c.MaxOutput
	}
	f := r.limiter.Take(c.arrived, c.account.Name, n)
	if f == nil {
		c.tokens = n
	}
	c.quotaLevel = r.limiter.Level(c.arrived, c.account.Name)
	if c.account.Rate > 0 {
		c.job.Deferral = fair.Deferral(c.quotaLevel, ident.Tokens(float64(c.account.Burst)*r.cell.LimitShare()), c.route.FirstEventGoal)
	}
	return f
}

// refund returns the tokens of a request that did not run to its account.
func (r *Router) refund(c *call) {
	if c.account == nil || c.tokens == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Refund(time.Now(), c.account.Name, c.tokens)
	c.tokens = 0
}

func withRetryAfter(f *fault.Error, d time.Duration) *fault.Error {
	f.RetryAfter = d
	return f
}

// accountName returns the name of the account for log lines and metrics; empty without an account.
func (c *call) accountName() ident.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// refuse answers with an error made by the router and logs it.
func (r *Router) refuse(w http.ResponseWriter, c *call, f *fault.Error) {
	now := time.Now()
	if f.Run == fault.NotRun {
		r.refund(c)
	}
	fields := []any{"id", c.ID, "status", f.Status(), "reason", f.Reason, "run", f.Run, "detail", f.Detail, "ms", now.Sub(c.arrived).Milliseconds(), "after", f.RetryAfter}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "account", c.accountName(), "service", c.service)
	}
	if table := r.table.Load(); table != nil {
		fields = append(fields, "generation", table.Generation)
	}
	if c.r.Context().Err() != nil {
		fields = append(fields, "from", c.r.RemoteAddr)
	}
	r.log.Log(event.RequestTurnedAway, fields...)
	r.meter.CountRefused(f.Reason)
	if f.Reason == fault.Quota {
		r.meter.CountOverQuota(c.accountName())
	}
	if c.unread {
		_ = http.NewResponseController(w).EnableFullDuplex() // the refusal is written before the body is read
	}
	fault.WriteFractionalRetry(w, f, string(c.ID))
}
