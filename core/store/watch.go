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
	q := watchQuery{Watch: true, Rev: rev, Seconds: int(h.watchDuration.Seconds())}
	req, err := h.base.New().Get(objectPath(sort)).QueryStruct(q).Request()
	if err != nil {
		return err
	}
	wctx, cancel := context.WithTimeout(ctx, h.watchDuration+watchGrace)
	defer cancel()
	res, err := h.send(wctx, req)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = readEvents(req, res, f)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// follow reads events until the stream ends.
func readEvents(req *http.Request, res *http.Response, f func(Change)) error {
	d := json.NewDecoder(res.Body)
	if res.StatusCode >= 300 {
		var raw json.RawMessage
		_ = d.Decode(&raw) // the code is enough
		return statusError(req, res.StatusCode, raw)
	}
	for {
		var e watchEvent
		err := d.Decode(&e)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return transportError(req, true, err)
		}
		if err = handleEvent(req, e, f); err != nil {
			return err
		}
	}
}

// pass hands one event to f; an event of the type ERROR ends the watch.
func handleEvent(req *http.Request, e watchEvent, f func(Change)) (err error) {
	switch e.Type {
	case EventError:
		var s Status
		if err = json.Unmarshal(e.Object, &s); err != nil {
			return transportError(req, true, err)
		}
		return statusError(req, s.Code, e.Object)
	case EventAdded, EventModified, EventDeleted:
		var i Item
		if err = json.Unmarshal(e.Object, &i); err != nil {
			return transportError(req, true, err)
		}
		f(Change{Object: i.Object(), Deleted: e.Type == EventDeleted})
	}
	return nil // other types, for example bookmarks, carry no change
}
