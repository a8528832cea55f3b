package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// watchGrace is the time after the agreed end of a watch at which its connection counts as dead.
const watchGrace = 2 * time.Second

type watchQuery struct {
	Watch   bool `url:"watch"`
	Rev     Rev  `url:"resourceVersion"`
	Seconds int  `url:"timeoutSeconds"`
}

type watchEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Watch implements Store. It returns nil after the agreed length of a watch; the caller then starts
// the next one from the last version seen. It returns the cause when ctx ends.
func (h *HTTP) Watch(ctx context.Context, sort string, rev Rev, f func(Change)) (err error) {
	defer func() { err = errors.WithMessagef(err, "watch %s", sort) }()
	q := watchQuery{Watch: true, Rev: rev, Seconds: int(h.watch.Seconds())}
	req, err := h.base.New().Get(path(sort)).QueryStruct(q).Request()
	if err != nil {
		return err
	}
	wctx, cancel := context.WithTimeout(ctx, h.watch+watchGrace)
	defer cancel()
	res, err := h.send(wctx, req)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = follow(req, res, f)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// follow reads events until the stream ends.
func follow(req *http.Request, res *http.Response, f func(Change)) error {
	d := json.NewDecoder(res.Body)
	if res.StatusCode >= 300 {
		var raw json.RawMessage
		_ = d.Decode(&raw) // the code is enough
		return refused(req, res.StatusCode, raw)
	}
	for {
		var e watchEvent
		err := d.Decode(&e)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return lost(req, true, err)
		}
		if err = pass(req, e, f); err != nil {
			return err
		}
	}
}

// pass hands one event to f; an event of the type ERROR ends the watch.
func pass(req *http.Request, e watchEvent, f func(Change)) (err error) {
	switch e.Type {
	case Failed:
		var s Status
		if err = json.Unmarshal(e.Object, &s); err != nil {
			return lost(req, true, err)
		}
		return refused(req, s.Code, e.Object)
	case Added, Modified, Deleted:
		var i Item
		if err = json.Unmarshal(e.Object, &i); err != nil {
			return lost(req, true, err)
		}
		f(Change{Object: i.Object(), Deleted: e.Type == Deleted})
	}
	return nil // other types, for example bookmarks, carry no change
}
