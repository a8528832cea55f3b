package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ring"
)

const (
	// readTimeout limits the reading of a body.
	readTimeout = 30 * time.Second
	// waitMax limits the deadline that a caller may request.
	waitMax = 10 * time.Minute
	// servicePrefix precedes the name of a plain service in a path.
	servicePrefix = "/services/"
	// keyBytesMax limits an Idempotency-Key and a session, in bytes.
	keyBytesMax = 256
)

// Headers of the protocol with callers.
const (
	headerKey      = "Idempotency-Key"
	headerTier     = "X-Tier"
	headerDeadline = "X-Deadline"
	headerSession  = "X-Session"
	headerAnswer   = "X-Answer"
	headerRequest  = "X-Request-Id"
)

// handler returns the HTTP handler for callers. ctx ends with the process.
func (r *Router) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/answers/{token}", func(w http.ResponseWriter, req *http.Request) { r.serveAnswer(ctx, w, req) })
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) { r.serveCall(ctx, w, req) })
	return mux
}

// serveCall handles one call of a caller from its first byte to the end of its answer.
func (r *Router) serveCall(ctx context.Context, w http.ResponseWriter, req *http.Request) {
	x := r.index.Load()
	account, e := authenticate(x, req)
	if e != nil {
		r.refuse(w, e)
		return
	}
	reserved := int64(r.cfg.Bounds.Body)
	if r.heldBytes.Add(reserved) > int64(r.cfg.Bounds.Memory) {
		r.heldBytes.Add(-reserved)
		e = fault.NotRunf(fault.Shed, "this router holds too many requests")
		e.RetryAfter = shedRetryAfter
		r.refuse(w, e)
		return
	}
	defer func() { r.heldBytes.Add(-reserved) }()
	body, e := readBody(w, req, reserved)
	if e != nil {
		r.refuse(w, e)
		return
	}
	r.heldBytes.Add(int64(len(body)) - reserved)
	reserved = int64(len(body))
	call, e := readCall(x, account, req, body)
	if e != nil {
		r.refuse(w, e)
		return
	}
	r.runCall(ctx, w, req, call, func(now time.Time, c *Core, id CallID) { c.BeginCall(now, id, call) })
}

// authenticate finds the account of a call.
func authenticate(x *conf.Index, req *http.Request) (account conf.Account, e *fault.Error) {
	if x == nil {
		e = fault.NotRunf(fault.Config, "no configuration is in force yet")
		e.RetryAfter = shedRetryAfter
		return account, e
	}
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if ok {
		account, ok = x.AccountByKeyHash(ident.HashKey(key))
	}
	if !ok {
		return account, fault.NotRunf(fault.Auth, "the key is missing or unknown")
	}
	return account, nil
}

func readBody(w http.ResponseWriter, req *http.Request, limit int64) ([]byte, *fault.Error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout)) // not supported in some tests
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		e := fault.NotRunf(fault.Invalid, "the body is larger than %d bytes", limit)
		e.StatusOverride = http.StatusRequestEntityTooLarge
		return nil, e
	case err != nil:
		e := fault.NotRunf(fault.Invalid, "the body could not be read")
		e.StatusOverride = http.StatusRequestTimeout
		return nil, e
	}
	return body, nil
}

// readCall determines the service and the route of a call, and the properties that the scheduler needs.
func readCall(x *conf.Index, account conf.Account, req *http.Request, body []byte) (c Request, e *fault.Error) {
	c = Request{
		Account: account, Method: req.Method, Path: req.URL.RequestURI(), ContentType: req.Header.Get("Content-Type"),
		Body: body, Key: req.Header.Get(headerKey),
	}
	if len(c.Key) > keyBytesMax || len(req.Header.Get(headerSession)) > keyBytesMax {
		return c, fault.NotRunf(fault.Invalid, "%s or %s is longer than %d bytes", headerKey, headerSession, keyBytesMax)
	}
	if e = c.resolveRoute(x, req, body); e != nil {
		return c, e
	}
	c.Fingerprint = ident.FingerprintOf(c.Service.Name, body)
	version, session, ok := strings.Cut(req.Header.Get(headerSession), ".")
	if c.Session = session; ok {
		c.Version = ident.Version(version)
	} else {
		c.Session = version
	}
	return c, c.setTierAndDeadline(x, req)
}

// resolveRoute sets service, route and lengths.
func (c *Request) resolveRoute(x *conf.Index, req *http.Request, body []byte) (e *fault.Error) {
	if x.HasModelRoute(req.Method, req.URL.Path) {
		return c.resolveModelRoute(x, req, body)
	}
	var ok bool
	if rest, plain := strings.CutPrefix(req.URL.Path, servicePrefix); plain {
		name, path, _ := strings.Cut(rest, "/")
		if c.Service, ok = x.Service(ident.Service(name)); ok && c.Service.Kind == conf.PlainService {
			c.Route, ok = x.Route(c.Service.Name, req.Method, "/"+path, "")
			c.Path = strings.TrimPrefix(c.Path, servicePrefix+name)
		}
	} else {
		c.Service, c.Route, ok = x.MatchPlain(req.Method, req.URL.Path)
	}
	if !ok || c.Service.Kind != conf.PlainService || c.Route.Name == "" {
		return fault.NotRunf(fault.Route, "no service has a route %s %s", req.Method, req.URL.Path)
	}
	c.Prompt, c.Output = ident.EstimateTokens(len(body)), 1
	return nil
}

func (c *Request) resolveModelRoute(x *conf.Index, req *http.Request, body []byte) *fault.Error {
	m, err := chat.Parse(body)
	if err != nil {
		return fault.NotRunf(fault.Invalid, "%s", err)
	}
	svc, ok := x.ServiceByModel(m.Model)
	if !ok {
		return fault.NotRunf(fault.Route, "no service has the model %q", m.Model)
	}
	if c.Route, ok = x.Route(svc.Name, req.Method, req.URL.Path, m.Model); !ok {
		return fault.NotRunf(fault.Route, "service %s has no route %s %s", svc.Name, req.Method, req.URL.Path)
	}
	prompt := m.Prompt()
	c.Service, c.Prompt, c.Output, c.Blocks = svc, ident.EstimateTokens(len(prompt)), m.ExpectedOutput(), ident.HashBlocks(prompt)
	return nil
}

// setTierAndDeadline sets the tier and the wait.
func (c *Request) setTierAndDeadline(x *conf.Index, req *http.Request) *fault.Error {
	name := c.Account.Tier
	if c.Route.Tier != "" {
		name = c.Route.Tier
	}
	if h := req.Header.Get(headerTier); h != "" {
		name = h
	}
	allowed := name == c.Account.Tier || name == c.Route.Tier
	for _, t := range c.Account.Tiers {
		allowed = allowed || t == name
	}
	tier, ok := x.Tier(name)
	if !ok || !allowed {
		return fault.NotRunf(fault.Invalid, "the account may not use tier %q", name)
	}
	c.Tier, c.Wait = tier, tier.Wait.Duration()
	if h := req.Header.Get(headerDeadline); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms < 1 || ms > waitMax.Milliseconds() {
			return fault.NotRunf(fault.Invalid, "%s is not between 1 and %d ms", headerDeadline, waitMax.Milliseconds())
		}
		c.Wait = time.Duration(ms) * time.Millisecond
	}
	return nil
}

// serveAnswer serves a kept answer from the event after Last-Event-ID.
func (r *Router) serveAnswer(ctx context.Context, w http.ResponseWriter, req *http.Request) {
	account, e := authenticate(r.index.Load(), req)
	if e != nil {
		r.refuseResume(w, e)
		return
	}
	tok, err := openToken([]byte(r.cfg.Secret), req.PathValue("token"))
	if err != nil || tok.Account != account.Name {
		r.refuseResume(w, fault.NotRunf(fault.Route, "no such answer"))
		return
	}
	var afterSeq uint64
	if h := req.Header.Get("Last-Event-ID"); h != "" {
		if afterSeq, err = strconv.ParseUint(h, 10, 64); err != nil {
			r.refuseResume(w, fault.NotRunf(fault.Invalid, "Last-Event-ID is not a number"))
			return
		}
	}
	call := Request{Account: account, Service: conf.Service{Name: tok.Service}, Wait: reattachTimeout}
	r.runCall(ctx, w, req, call, func(now time.Time, c *Core, id CallID) {
		c.ResumeAnswer(now, id, call, tok.Request, tok.Agent, tok.Boot, ident.Seq(afterSeq))
	})
}

// refuse answers a call that was not accepted.
func (r *Router) refuse(w http.ResponseWriter, e *fault.Error) {
	r.countRefusal(e.Reason)
	fault.Write(w, e, "")
}

// refuseResume refuses to look up a kept answer. Its run state is unknown, because the refusal says nothing about
// the request itself.
func (r *Router) refuseResume(w http.ResponseWriter, e *fault.Error) {
	e.Run = fault.Unknown
	r.refuse(w, e)
}

// runCall starts a call and writes its answer to the caller until the answer ends or the caller disconnects.
func (r *Router) runCall(ctx context.Context, w http.ResponseWriter, req *http.Request, call Request, begin func(time.Time, *Core, CallID)) {
	id := CallID(r.lastCall.Add(1))
	parts := ring.New[ReplyPart](partsMax)
	err := r.inbox.Put(ctx, func(now time.Time, c *Core) {
		r.handlers[id] = parts
		begin(now, c, id)
	})
	if err != nil {
		fault.Write(w, fault.NotRunf(fault.Draining, "this router is stopping"), "")
		return
	}
	aw := &answerWriter{w: w, secret: []byte(r.cfg.Secret), session: call.Session}
	for !aw.done {
		select {
		case <-ctx.Done():
			aw.writeShutdown()
		case <-req.Context().Done():
			aw.done, aw.abortConnection = true, true // a caller that has only ended its sending direction still reads
		case <-parts.Ready():
			n := aw.writeReady(parts)
			if n > 0 && !aw.done {
				_ = r.inbox.Put(ctx, func(_ time.Time, c *Core) { c.HandleWritten(id, n) }) // fails only when the process ends
			}
		}
	}
	if !aw.callEnded {
		_ = r.inbox.Put(ctx, func(now time.Time, c *Core) {
			delete(r.handlers, id)
			c.HandleClientDisconnect(now, id)
		})
	}
	if aw.abortConnection {
		panic(http.ErrAbortHandler) // makes net/http break the connection, so that the caller detects a truncated answer
	}
}
