package store

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call. The API answers in milliseconds when it is up.
	defaultCallTimeout = 2 * time.Second
	// dialTimeout bounds the connection; no call is sent before it is open.
	dialTimeout = time.Second
	// watchLength is the length of one watch. A connection that died silently is noticed after it.
	defaultWatchDuration = time.Minute
	// listPage is the number of objects asked for at a time. A day of claims is too long for one answer.
	listPageSize = 500
	// replyMax bounds the memory that one answer can take; a full page of values of 90 kB fits in base64.
	replyBytesMax = 64 << 20
)

// ErrSize means that a value is larger than ValueMax; nothing was sent.
var ErrValueTooLarge = errors.New("value is larger than 1 MB")

// HTTP is a Store that speaks the published protocol of the object API.
type HTTP struct {
	base          *sling.Sling
	client        *http.Client
	callTimeout   time.Duration
	watchDuration time.Duration
}

var _ Store = (*HTTP)(nil)

// Option sets one property of an HTTP store.
type Option func(*HTTP)

// Timeout sets the bound of one call; a watch is not bounded by it.
func WithTimeout(d time.Duration) Option { return func(h *HTTP) { h.callTimeout = d } }

// WatchLength sets the length of one watch, in whole seconds.
func WithWatchDuration(d time.Duration) Option { return func(h *HTTP) { h.watchDuration = d } }

// Transport sets the transport; tests use it to run without a network.
func WithTransport(rt http.RoundTripper) Option { return func(h *HTTP) { h.client.Transport = rt } }

// NewHTTP returns a store at addr (IP number and port).
func NewHTTP(addr string, opts ...Option) *HTTP {
	h := &HTTP{
		base: sling.New().Base("http://" + addr),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}},
		callTimeout: defaultCallTimeout, watchDuration: defaultWatchDuration,
	}
	for _, f := range opts {
		f(h)
	}
	return h
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, sort, name string) (o Object, err error) {
	defer func() { err = errors.WithMessagef(err, "get %s/%s", sort, name) }()
	var i Item
	err = h.callAPI(ctx, h.base.New().Get(objectPath(sort, name)), &i)
	return i.Object(), err
}

type listQuery struct {
	Limit    int    `url:"limit"`
	Continue string `url:"continue,omitempty"`
}

// List implements Store. It reads pages; the version is that of the first, so that a watch from it
// also reports what changed while the others were read.
func (h *HTTP) List(ctx context.Context, sort string) (all []Object, rev Rev, err error) {
	defer func() { err = errors.WithMessagef(err, "list %s", sort) }()
	q := listQuery{Limit: listPageSize}
	for {
		var l ItemList
		if err = h.callAPI(ctx, h.base.New().Get(objectPath(sort)).QueryStruct(q), &l); err != nil {
			return nil, "", err
		}
		for _, i := range l.Items {
			all = append(all, i.Object())
		}
		if rev == "" {
			rev = l.Meta.Rev
		}
		if q.Continue = l.Meta.Continue; q.Continue == "" {
			return all, rev, nil
		}
	}
}

// Create implements Store.
func (h *HTTP) Create(ctx context.Context, o Object) (out Object, err error) {
	defer func() { err = errors.WithMessagef(err, "create %s/%s", o.Kind, o.Name) }()
	o.Rev = ""
	return h.write(ctx, h.base.New().Post(objectPath(o.Kind)), o)
}

// Update implements Store. An empty o.Rev would make the update unconditional, so that it is refused.
func (h *HTTP) Update(ctx context.Context, o Object) (out Object, err error) {
	defer func() { err = errors.WithMessagef(err, "update %s/%s", o.Kind, o.Name) }()
	if o.Rev == "" {
		return out, ErrConflict
	}
	return h.write(ctx, h.base.New().Put(objectPath(o.Kind, o.Name)), o)
}

// Delete implements Store. An empty o.Rev is refused as in Update.
func (h *HTTP) Delete(ctx context.Context, o Object) (err error) {
	defer func() { err = errors.WithMessagef(err, "delete %s/%s", o.Kind, o.Name) }()
	if o.Rev == "" {
		return ErrConflict
	}
	body := DeleteOptions{Preconditions: Meta{Rev: o.Rev}}
	return h.callAPI(ctx, h.base.New().Delete(objectPath(o.Kind, o.Name)).BodyJSON(body), nil)
}

func (h *HTTP) write(ctx context.Context, s *sling.Sling, o Object) (out Object, err error) {
	if len(o.Value) > ValueBytesMax {
		return out, ErrValueTooLarge
	}
	var i Item
	err = h.callAPI(ctx, s.BodyJSON(ItemOf(o)), &i)
	return i.Object(), err
}

// do sends one call and reads its answer into v, which may be nil.
func (h *HTTP) callAPI(ctx context.Context, s *sling.Sling, v any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	res, err := h.send(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, replyBytesMax))
	if err != nil {
		return transportError(req, true, err)
	}
	if res.StatusCode >= 300 {
		return statusError(req, res.StatusCode, b)
	}
	if v == nil {
		return nil
	}
	if err = json.Unmarshal(b, v); err != nil {
		return transportError(req, true, err)
	}
	return nil
}

// send returns the head of the answer; a failure is typed by whether the call can have reached the API.
func (h *HTTP) send(ctx context.Context, req *http.Request) (res *http.Response, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err = h.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, transportError(req, connected.Load(), err)
	}
	return res, nil
}

// lost types a failure without a whole answer.
func transportError(req *http.Request, sent bool, cause error) error {
	if sent && req.Method != http.MethodGet {
		return errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

// refused types an answer that is a failure. 429 and 503 are given before a call is processed.
// Other 5xx answers to a write, for example 504, leave open whether it took effect.
func statusError(req *http.Request, code int, body []byte) error {
	var s Status
	_ = json.Unmarshal(body, &s) // a front end may answer in plain text; the code is enough then
	switch {
	case code == http.StatusNotFound:
		return ErrNotFound
	case code == http.StatusConflict && s.Reason == ReasonExists:
		return ErrExists
	case code == http.StatusConflict:
		return ErrConflict
	case code == http.StatusGone:
		return ErrRevTooOld
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "status %d", code)
	case code >= 500:
		return transportError(req, true, errors.Errorf("status %d", code))
	}
	return errors.Errorf("status %d: %s", code, s.Message)
}

func objectPath(parts ...string) string {
	p := GroupPath
	for _, s := range parts {
		p += "/" + url.PathEscape(s)
	}
	return p
}
