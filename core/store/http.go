package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/core/fetch"
)

const (
	// defaultCallTimeout limits the time until an answer begins. The API answers in milliseconds when it is up.
	defaultCallTimeout = 2 * time.Second
	// dialTimeout limits the connection setup; no call is sent before the connection is open.
	dialTimeout = time.Second
	// defaultWatchDuration is the length of one watch. A connection that died silently is noticed when the
	// watch ends.
	defaultWatchDuration = time.Minute
	// listPageSize is the number of objects requested per page. The claims of one day are too many for one
	// answer.
	listPageSize = 500
	// replyBytesMax limits the memory that one answer can take; a full page of values of 90 kB fits in base64.
	replyBytesMax = 64 << 20
)

// ErrValueTooLarge means that a value is larger than ValueBytesMax; nothing was sent.
var ErrValueTooLarge = errors.New("value is larger than 1 MB")

// HTTP is a Store that uses the published HTTP protocol of the object API.
type HTTP struct {
	base          *sling.Sling
	client        *http.Client
	callTimeout   time.Duration
	watchDuration time.Duration
}

var _ Store = (*HTTP)(nil)

// Option sets one property of an HTTP store.
type Option func(*HTTP)

// WithTimeout sets the time in which the answer to a call has to begin; it does not apply to a watch.
func WithTimeout(d time.Duration) Option { return func(h *HTTP) { h.callTimeout = d } }

// WithWatchDuration sets the length of one watch, in whole seconds.
func WithWatchDuration(d time.Duration) Option { return func(h *HTTP) { h.watchDuration = d } }

// WithTransport sets the transport; tests use it to run without a network.
func WithTransport(rt http.RoundTripper) Option { return func(h *HTTP) { h.client.Transport = rt } }

// NewHTTP returns a store at addr (IP address and port).
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
func (h *HTTP) Get(ctx context.Context, kind, name string) (o Object, err error) {
	defer func() { err = errors.WithMessagef(err, "get %s/%s", kind, name) }()
	var i Item
	err = h.callAPI(ctx, h.base.New().Get(objectPath(kind, name)), &i)
	return i.Object(), err
}

type listQuery struct {
	Limit    int    `url:"limit"`
	Continue string `url:"continue,omitempty"`
}

// List implements Store. It reads pages; the version is that of the first page, so that a watch from it also
// reports what changed while the other pages were read.
func (h *HTTP) List(ctx context.Context, kind string) (all []Object, rev Rev, err error) {
	defer func() { err = errors.WithMessagef(err, "list %s", kind) }()
	q := listQuery{Limit: listPageSize}
	for {
		var l ItemList
		if err = h.callAPI(ctx, h.base.New().Get(objectPath(kind)).QueryStruct(q), &l); err != nil {
			return nil, "", err
		}
		for _, i := range l.Items {
			all = append(all, i.Object())
		}
		if rev == "" {
			rev = l.Meta.Rev
		}
		last := q.Continue
		if q.Continue = l.Meta.Continue; q.Continue == "" {
			return all, rev, nil
		}
		if q.Continue == last {
			return nil, "", errors.Wrap(ErrUnavailable, "the list does not go on")
		}
	}
}

// Create implements Store.
func (h *HTTP) Create(ctx context.Context, o Object) (out Object, err error) {
	defer func() { err = errors.WithMessagef(err, "create %s/%s", o.Kind, o.Name) }()
	o.Rev = ""
	return h.write(ctx, h.base.New().Post(objectPath(o.Kind)), o)
}

// Update implements Store. It refuses an empty o.Rev, which would make the update unconditional.
func (h *HTTP) Update(ctx context.Context, o Object) (out Object, err error) {
	defer func() { err = errors.WithMessagef(err, "update %s/%s", o.Kind, o.Name) }()
	if o.Rev == "" {
		return out, ErrConflict
	}
	return h.write(ctx, h.base.New().Put(objectPath(o.Kind, o.Name)), o)
}

// Delete implements Store. It refuses an empty o.Rev, as Update does.
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

// callAPI sends one call and decodes its answer into v, which may be nil.
func (h *HTTP) callAPI(ctx context.Context, s *sling.Sling, v any) (err error) {
	req, err := s.Request()
	if err != nil {
		return err
	}
	traced, connected := withConnTrace(req.WithContext(ctx))
	res, b, err := fetch.Do(h.client, traced, fetch.Limits{Head: h.callTimeout, Bytes: replyBytesMax})
	if err != nil {
		return transportError(req, connected.Load(), err)
	}
	if res.StatusCode >= 300 {
		return statusError(req, res.StatusCode, b)
	}
	if v == nil {
		return nil
	}
	if err = decodeReply(b, v); err != nil {
		return transportError(req, true, err)
	}
	return nil
}

// withConnTrace returns a request that records whether it got a connection.
func withConnTrace(req *http.Request) (*http.Request, *atomic.Bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace)), &connected
}

// send returns the response with its body unread. The error tells whether the call can have reached the API.
func (h *HTTP) send(ctx context.Context, req *http.Request) (res *http.Response, err error) {
	traced, connected := withConnTrace(req.WithContext(ctx))
	res, err = h.client.Do(traced)
	if err != nil {
		return nil, transportError(req, connected.Load(), err)
	}
	return res, nil
}

// transportError returns the error for a call without a complete answer.
func transportError(req *http.Request, sent bool, cause error) error {
	if sent && req.Method != http.MethodGet {
		return errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

// statusError returns the error for an answer with a failure status. 429 and 503 are sent before a call is
// processed. After other 5xx answers to a write, for example 504, it is unknown whether the write took effect.
func statusError(req *http.Request, code int, body []byte) error {
	var s Status
	_ = json.Unmarshal(body, &s) // a front end may answer in plain text; the status code is enough then
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
