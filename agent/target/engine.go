package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// resumesMax bounds how often one broken stream is resumed.
	resumesMax = 3
	// resumePause is the pause before each attempt to resume a broken stream.
	resumePause = 100 * time.Millisecond
	// replyBytesMax limits the answer to a check, in bytes: the contents of the largest prefix cache.
	replyBytesMax = 16 << 20
)

// Engine is a model engine that speaks the chat-completions protocol.
type Engine struct {
	base string
	rt   http.RoundTripper
}

// NewEngine returns the engine at addr (IP number and port).
func NewEngine(addr string) *Engine {
	return &Engine{base: "http://" + addr, rt: newTransport(true)}
}

// stream is the state of one answer over several connections.
type stream struct {
	emit func(Part)
	// passedEvents is the number of events emitted.
	passedEvents int
	outcome      Outcome
}

// Run implements Target. A stream whose connection breaks is resumed after its last event, up to resumesMax times;
// the request itself is never sent again.
func (e *Engine) Run(ctx context.Context, r Request, emit func(Part)) Outcome {
	res, out := send(ctx, e.rt, e.base, r)
	if res == nil {
		return out
	}
	defer func() { _ = res.Body.Close() }()
	if !isStream(res) {
		return copyParts(res, emit)
	}
	s := &stream{emit: emit}
	if s.read(res) {
		return s.outcome
	}
	return e.resume(ctx, r.ID, s)
}

// Resume implements Target.
func (e *Engine) Resume(ctx context.Context, id ident.RequestID, emit func(Part)) (out Outcome, ok bool) {
	s := &stream{emit: emit}
	res, err := e.reopen(ctx, id, 0)
	if err != nil {
		return Outcome{Run: fault.Unknown, Reason: fault.Gone}, false
	}
	defer func() { _ = res.Body.Close() }()
	if s.read(res) {
		return s.outcome, true
	}
	return e.resume(ctx, id, s), true
}

// resume continues a broken stream after its last event. ConnectionLost is set only if the engine does not answer a
// probe either.
func (e *Engine) resume(ctx context.Context, id ident.RequestID, s *stream) Outcome {
	truncated := Outcome{Run: fault.Ran, Reason: fault.Target, Detail: "the stream of the engine was cut", Output: s.outcome.Output}
	for range resumesMax {
		select {
		case <-ctx.Done():
			return truncated
		case <-time.After(resumePause):
		}
		res, err := e.reopen(ctx, id, s.passedEvents)
		if err != nil {
			continue
		}
		complete := s.read(res)
		_ = res.Body.Close()
		if complete {
			return s.outcome
		}
	}
	truncated.ConnectionLost = e.Probe(ctx) != nil && ctx.Err() == nil
	return truncated
}

// reopen requests the stream of an answer after its first events.
func (e *Engine) reopen(ctx context.Context, id ident.RequestID, after int) (res *http.Response, err error) {
	defer func() { err = errors.WithMessage(err, "resume stream") }()
	url := fmt.Sprintf("%s/v1/requests/%s/stream?after=%d", e.base, id, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err = e.rt.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK || !isStream(res) {
		_ = res.Body.Close()
		return nil, errors.Errorf("status %d", res.StatusCode)
	}
	return res, nil
}

// read emits the events of one connection and reports whether the engine ended the stream.
func (s *stream) read(res *http.Response) bool {
	events := chat.NewReader(res.Body)
	for {
		ev, err := events.Next()
		if err != nil {
			return false
		}
		if string(ev.Data) == chat.Done {
			s.outcome.Complete, s.outcome.Run = true, fault.Ran
			return true
		}
		s.emitEvent(res, ev)
	}
}

// emitEvent emits one event as a part of the answer, and counts its tokens.
func (s *stream) emitEvent(res *http.Response, ev chat.Event) {
	p := Part{Data: ev.Data}
	if s.passedEvents == 0 {
		p.Status, p.ContentType, p.Stream = http.StatusOK, res.Header.Get("Content-Type"), true
	}
	if d, err := chat.ParseDelta(ev.Data); err == nil {
		if len(d.Choices) > 0 && d.Choices[0].Delta != nil && d.Choices[0].Delta.Content != "" {
			p.Tokens = 1
			s.outcome.Output++
		}
		if d.Usage != nil {
			s.recordUsage(d.Usage)
		}
	}
	s.passedEvents++
	s.emit(p)
}

func (s *stream) recordUsage(u *chat.Usage) {
	s.outcome.Prompt, s.outcome.Output = u.Prompt, u.Completion
	if u.Details != nil {
		s.outcome.Cached = u.Details.Cached
	}
}

// Cancel implements Target.
func (e *Engine) Cancel(ctx context.Context, id ident.RequestID) (err error) {
	defer func() { err = errors.WithMessage(err, "cancel request") }()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/requests/"+string(id)+"/cancel", nil)
	if err != nil {
		return err
	}
	res, err := e.rt.RoundTrip(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, partBytesMax))
	return res.Body.Close()
}

// Probe implements Target.
func (e *Engine) Probe(ctx context.Context) error { return probe(ctx, e.rt, e.base) }

// commandBody is the body of a command, as the engine reads it.
type commandBody struct {
	Verb    string          `json:"verb"`
	Version ident.Version   `json:"version"`
	Value   string          `json:"value"`
	Fence   ident.Fence     `json:"fence"`
	Issuer  ident.ProcessID `json:"issuer"`
}

// SendCommand implements Target.
func (e *Engine) SendCommand(ctx context.Context, cmd Command) (err error) {
	defer func() { err = errors.WithMessage(err, "order") }()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	body := commandBody{Verb: cmd.Verb, Version: cmd.Version, Value: cmd.Value, Fence: cmd.Fence, Issuer: cmd.Issuer}
	req, err := sling.New().Base(e.base).Post("/orders").BodyJSON(body).Request()
	if err != nil {
		return err
	}
	res, err := e.rt.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case res.StatusCode == http.StatusConflict:
		return ErrStaleFence
	case res.StatusCode >= http.StatusMultipleChoices:
		return errors.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// Load reads the load report of the engine, which lags behind its actual load.
func (e *Engine) Load(ctx context.Context) (l Load, err error) {
	err = e.get(ctx, "/load", &l)
	return l, errors.WithMessage(err, "read load")
}

// CacheEventsAfter returns the cache events after seq.
func (e *Engine) CacheEventsAfter(ctx context.Context, seq ident.Seq) (events []CacheEvent, err error) {
	err = e.get(ctx, fmt.Sprintf("/cache?after=%d", seq), &events)
	return events, errors.WithMessage(err, "read cache events")
}

func (e *Engine) get(ctx context.Context, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := sling.New().Base(e.base).Get(path).Request()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: boundedTransport{e.rt}}
	res, err := sling.New().Client(client).Do(req.WithContext(ctx), v, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// boundedTransport limits the bodies of answers to replyBytesMax.
type boundedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := b.RoundTripper.RoundTrip(req)
	if err == nil {
		res.Body = http.MaxBytesReader(nil, res.Body, replyBytesMax)
	}
	return res, err
}

func isStream(res *http.Response) bool {
	return res.StatusCode == http.StatusOK && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// CacheContents is the complete prefix cache of an engine after event Seq.
type CacheContents struct {
	Seq    ident.Seq     `json:"seq"`
	Blocks []ident.Block `json:"blocks"`
}

// ReadCache returns the complete contents of the prefix cache.
func (e *Engine) ReadCache(ctx context.Context) (all CacheContents, err error) {
	err = e.get(ctx, "/cache/all", &all)
	return all, errors.WithMessage(err, "read cache")
}
