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

// answerBytesMax bounds the bytes read of an answer that is not a stream.
const answerBytesMax = 16 << 20

// Client sends single requests.
type Client struct {
	http *http.Client
	// now returns the current time.
	now func() time.Time
}

// NewClient returns a client that keeps up to conns idle connections per router.
func NewClient(conns int) *Client {
	t := &http.Transport{MaxIdleConns: conns, MaxIdleConnsPerHost: conns, DisableCompression: true}
	return &Client{http: &http.Client{Transport: t}, now: time.Now}
}

// Send sends req to the router at addr and reads the answer to its end. session is sent as X-Session unless empty.
func (c *Client) Send(ctx context.Context, addr string, req plan.Request, session string) Result {
	r := Result{Request: req, Router: addr}
	start := c.now()
	defer func() { r.Total = c.now().Sub(start) }()
	httpReq, err := buildRequest(addr, req, session)
	if err != nil {
		r.Outcome, r.Detail = Failed, err.Error()
		return r
	}
	resp, err := c.http.Do(httpReq.WithContext(ctx))
	if err != nil {
		r.Outcome, r.Detail = outcomeAfterError(ctx, Failed), err.Error()
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status, r.Session = resp.StatusCode, resp.Header.Get("X-Session")
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), fault.ContentType):
		r.readProblem(resp.Body)
	case resp.StatusCode >= http.StatusBadRequest:
		r.Outcome = Failed
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		c.readStream(ctx, &r, resp.Body, start)
	default:
		c.readPlain(ctx, &r, resp.Body, start)
	}
	r.Total = c.now().Sub(start)
	return r
}

func buildRequest(addr string, req plan.Request, session string) (*http.Request, error) {
	q := sling.New().Base("http://"+addr).Path(req.Path).Set("Authorization", "Bearer "+req.APIKey).
		Set("Content-Type", "application/json").Body(bytes.NewReader(req.Body))
	for name, value := range map[string]string{
		"X-Tier": req.Tier, "X-Session": session, "Idempotency-Key": req.IdempotencyKey,
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if req.Deadline > 0 {
		q.Set("X-Deadline", strconv.FormatInt(int64(req.Deadline), 10))
	}
	httpReq, err := q.Request()
	if err != nil {
		return nil, errors.WithMessage(err, "build request")
	}
	httpReq.Method = req.Method
	return httpReq, nil
}

func (r *Result) readProblem(body io.Reader) {
	var p fault.Problem
	r.Outcome = Refused
	if err := json.NewDecoder(io.LimitReader(body, answerBytesMax)).Decode(&p); err != nil {
		r.Outcome, r.Detail = Malformed, "problem document: "+err.Error()
		return
	}
	r.RunState, r.Reason, r.RequestID, r.Detail = p.Run, p.Reason, p.ID, p.Detail
}

func (c *Client) readPlain(ctx context.Context, r *Result, body io.Reader, start time.Time) {
	r.FirstToken = c.now().Sub(start)
	if _, err := io.Copy(io.Discard, io.LimitReader(body, answerBytesMax)); err != nil {
		r.Outcome, r.Detail = outcomeAfterError(ctx, Malformed), err.Error()
		return
	}
	r.Outcome = Complete
}

// readStream reads server-sent events. A stream is complete only if [DONE] follows a finish reason.
func (c *Client) readStream(ctx context.Context, r *Result, body io.Reader, start time.Time) {
	events, finished, last := chat.NewReader(body), false, time.Time{}
	for {
		e, err := events.Next()
		switch {
		case err != nil:
			r.Outcome, r.Detail = outcomeAfterError(ctx, Malformed), err.Error()
			return
		case e.Name == "error":
			r.readErrorEvent(e.Data)
			return
		case string(e.Data) == chat.Done:
			r.finishStream(finished)
			return
		}
		content, finish, err := parseDelta(e.Data)
		if err != nil {
			r.Outcome, r.Detail = Malformed, err.Error()
			return
		}
		finished = finished || finish
		if now := c.now(); content {
			r.addToken(now, last, start)
			last = now
		}
	}
}

func (r *Result) addToken(now, last, start time.Time) {
	if last.IsZero() {
		r.FirstToken = now.Sub(start)
		return
	}
	r.TokenGaps = append(r.TokenGaps, now.Sub(last))
}

func (r *Result) finishStream(finished bool) {
	r.Outcome = Complete
	if !finished {
		r.Outcome, r.Detail = Malformed, "no finish reason before "+chat.Done
	}
}

func (r *Result) readErrorEvent(data []byte) {
	var p fault.Problem
	r.Outcome = Truncated
	if err := json.Unmarshal(data, &p); err != nil {
		r.Detail = "error event: " + err.Error()
		return
	}
	r.RunState, r.Reason, r.RequestID, r.Detail = p.Run, p.Reason, p.ID, p.Detail
}

func parseDelta(data []byte) (content, finish bool, err error) {
	d, err := chat.ParseDelta(data)
	for _, ch := range d.Choices {
		content = content || (ch.Delta != nil && ch.Delta.Content != "")
		finish = finish || ch.FinishReason != nil
	}
	return content, finish, err
}

func outcomeAfterError(ctx context.Context, o Outcome) Outcome {
	if ctx.Err() != nil {
		return Unfinished
	}
	return o
}
