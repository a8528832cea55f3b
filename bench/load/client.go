package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/bench/plan"
	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/fault"
)

// answerMax bounds the bytes read of an answer that is not a stream.
const answerMax = 16 << 20

// Client sends single requests.
type Client struct {
	http *http.Client
	// now is the clock by which answers are timed.
	now func() time.Time
}

// NewClient returns a client that keeps up to conns idle connections per router.
func NewClient(conns int) *Client {
	t := &http.Transport{MaxIdleConns: conns, MaxIdleConnsPerHost: conns, DisableCompression: true}
	return &Client{http: &http.Client{Transport: t}, now: time.Now}
}

// Send sends s to the router at addr and reads the whole answer. session is sent as X-Session unless empty.
func (c *Client) Send(ctx context.Context, addr string, s plan.Shot, session string) Result {
	r := Result{Shot: s, Router: addr}
	start := c.now()
	defer func() { r.Total = c.now().Sub(start) }()
	req, err := request(addr, s, session)
	if err != nil {
		r.End, r.Detail = Failed, err.Error()
		return r
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		r.End, r.Detail = ended(ctx, Failed), err.Error()
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status, r.Session = resp.StatusCode, resp.Header.Get("X-Session")
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), fault.ContentType):
		r.refusal(resp.Body)
	case resp.StatusCode >= http.StatusBadRequest:
		r.End = Failed
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		c.stream(ctx, &r, resp.Body, start)
	default:
		c.plain(ctx, &r, resp.Body, start)
	}
	r.Total = c.now().Sub(start)
	return r
}

func request(addr string, s plan.Shot, session string) (*http.Request, error) {
	q := sling.New().Base("http://"+addr).Path(s.Path).Set("Authorization", "Bearer "+s.Key).
		Set("Content-Type", "application/json").Body(bytes.NewReader(s.Body))
	for name, value := range map[string]string{"X-Tier": s.Tier, "X-Session": session, "Idempotency-Key": s.Idem} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if s.Deadline > 0 {
		q.Set("X-Deadline", strconv.FormatInt(int64(s.Deadline), 10))
	}
	req, err := q.Request()
	if err != nil {
		return nil, errors.WithMessage(err, "build request")
	}
	req.Method = s.Method
	return req, nil
}

func (r *Result) refusal(body io.Reader) {
	var p fault.Problem
	r.End = Refused
	if err := json.NewDecoder(io.LimitReader(body, answerMax)).Decode(&p); err != nil {
		r.End, r.Detail = Torn, "problem document: "+err.Error()
		return
	}
	r.Run, r.Reason, r.ID, r.Detail = p.Run, p.Reason, p.ID, p.Detail
}

func (c *Client) plain(ctx context.Context, r *Result, body io.Reader, start time.Time) {
	r.First = c.now().Sub(start)
	if _, err := io.Copy(io.Discard, io.LimitReader(body, answerMax)); err != nil {
		r.End, r.Detail = ended(ctx, Torn), err.Error()
		return
	}
	r.End = Whole
}

// stream reads server-sent events. Only [DONE] after a finish reason makes a stream whole.
func (c *Client) stream(ctx context.Context, r *Result, body io.Reader, start time.Time) {
	events, finished, last := chat.NewReader(body), false, time.Time{}
	for {
		e, err := events.Next()
		switch {
		case err != nil:
			r.End, r.Detail = ended(ctx, Torn), err.Error()
			return
		case e.Name == "error":
			r.cut(e.Data)
			return
		case string(e.Data) == chat.Done:
			r.done(finished)
			return
		}
		content, finish, err := read(e.Data)
		if err != nil {
			r.End, r.Detail = Torn, err.Error()
			return
		}
		finished = finished || finish
		if now := c.now(); content {
			r.token(now, last, start)
			last = now
		}
	}
}

func (r *Result) token(now, last, start time.Time) {
	if last.IsZero() {
		r.First = now.Sub(start)
		return
	}
	r.Gaps = append(r.Gaps, now.Sub(last))
}

func (r *Result) done(finished bool) {
	r.End = Whole
	if !finished {
		r.End, r.Detail = Torn, "no finish reason before "+chat.Done
	}
}

func (r *Result) cut(data []byte) {
	var p fault.Problem
	r.End = Cut
	if err := json.Unmarshal(data, &p); err != nil {
		r.Detail = "error event: " + err.Error()
		return
	}
	r.Run, r.Reason, r.ID, r.Detail = p.Run, p.Reason, p.ID, p.Detail
}

func read(data []byte) (content, finish bool, err error) {
	d, err := chat.ParseDelta(data)
	for _, ch := range d.Choices {
		content = content || (ch.Delta != nil && ch.Delta.Content != "")
		finish = finish || ch.FinishReason != nil
	}
	return content, finish, err
}

func ended(ctx context.Context, e End) End {
	if ctx.Err() != nil {
		return Unfinished
	}
	return e
}
