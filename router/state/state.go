// Package state asks targets for their state.
package state

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/sched"
)

// bodyMax limits the head and the body of an answer, in bytes each.
const bodyMax = 64 << 10

// Dialect tells how targets are asked.
type Dialect interface {
	// StatePath is the path of the call.
	StatePath() string
	// State parses an answer.
	State(status int, body []byte) sched.TargetState
}

// Client asks targets. Each call has a connection of its own, as one on which a request waits says nothing.
type Client struct {
	dialect Dialect
	http    *http.Client
}

// NewClient returns a client.
func NewClient(d Dialect) *Client {
	return &Client{dialect: d, http: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bodyMax},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Ask asks the target at an address, which has the given time to answer. The state after an error is that of a target that
// did not answer.
func (c *Client) Ask(ctx context.Context, addr string, timeout time.Duration) (s sched.TargetState, err error) {
	defer func() { err = errors.Wrapf(err, "state of the target at %s", addr) }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+c.dialect.StatePath(), nil)
	if err != nil {
		return s, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, bodyMax))
	if err != nil {
		return s, err
	}
	s = c.dialect.State(res.StatusCode, body)
	s.Answers = true
	return s, nil
}
