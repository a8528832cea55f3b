package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/core/fetch"
)

const (
	// headTime limits the time until a peer begins to answer. A small router encodes a large snapshot in some tenths of a
	// second.
	headTime = time.Second
	// headerMax limits the header of the answer, in bytes.
	headerMax = 64 << 10
)

// Client reads the snapshots of other routers.
type Client struct{ http *http.Client }

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: headerMax}}}
}

// Fetch reads the snapshot of the router at an admin address, with the registrations of targets if targets is true.
func (c *Client) Fetch(ctx context.Context, admin string, targets bool) (s Snapshot, err error) {
	defer func() { err = errors.WithMessage(err, "read snapshot") }()
	url := "http://" + admin + Path
	if !targets {
		url += "?" + withoutTargets
	}
	req, err := sling.New().Get(url).Request()
	if err != nil {
		return s, err
	}
	res, body, err := fetch.Do(c.http, req.WithContext(ctx), fetch.Limits{Head: headTime, Bytes: bytesMax})
	if err != nil {
		return s, err
	}
	if res.StatusCode != http.StatusOK {
		return s, errors.Errorf("status %d", res.StatusCode)
	}
	return decode(body)
}
