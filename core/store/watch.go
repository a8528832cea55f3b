package store

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/loose"
)

// watchGrace is the time after the agreed end of a watch after which its connection is considered dead.
const watchGrace = 2 * time.Second

// eventBytesMax limits one event of a watch: an object with the largest value in base64.
const eventBytesMax = 2 * ValueBytesMax

type watchQuery struct {
	Watch   bool `url:"watch"`
	Rev     Rev  `url:"resourceVersion"`
	Seconds int  `url:"timeoutSeconds"`
}

// Watch implements Store. It returns nil after the agreed length of a watch; the caller then starts the next
// one from the last version seen. It returns the error of ctx when ctx ends.
func (h *HTTP) Watch(ctx context.Context, kind string, rev Rev, f func(Change)) (err error) {
	defer func() { err = errors.WithMessagef(err, "watch %s", kind) }()
	q := watchQuery{Watch: true, Rev: rev, Seconds: int(h.watchDuration.Seconds())}
	req, err := h.base.New().Get(objectPath(kind)).QueryStruct(q).Request()
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

// readEvents passes on events until the stream ends. A change of which not even the name can be read is passed on
// without one, and ends the watch with ErrUnreadable, so that the caller lists again.
func readEvents(req *http.Request, res *http.Response, f func(Change)) error {
	if res.StatusCode >= 300 {
		var raw json.RawMessage
		_ = json.NewDecoder(io.LimitReader(res.Body, eventBytesMax)).Decode(&raw) // the status code is enough
		return statusError(req, res.StatusCode, raw)
	}
	r := bufio.NewReader(res.Body)
	for {
		b, err := loose.ReadValue(r, eventBytesMax)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return transportError(req, true, err)
		}
		if err = handleEvent(req, b, f); err != nil {
			return err
		}
	}
}

// handleEvent passes one event to f; an event of type ERROR ends the watch.
func handleEvent(req *http.Request, b []byte, f func(Change)) (err error) {
	members, err := loose.Members(b)
	if err != nil {
		f(Change{})
		return ErrUnreadable
	}
	var eventType string
	if json.Unmarshal(members["type"], &eventType) != nil {
		f(Change{})
		return ErrUnreadable
	}
	switch eventType {
	case EventError:
		var s Status
		if err = json.Unmarshal(members["object"], &s); err != nil {
			return transportError(req, true, err)
		}
		return statusError(req, s.Code, members["object"])
	case EventAdded, EventModified, EventDeleted:
		var i Item
		if i.decode(members["object"]) != nil {
			i = Item{}
		}
		f(Change{Object: i.Object(), Deleted: eventType == EventDeleted})
		if i.Meta.Name == "" {
			return ErrUnreadable
		}
	}
	return nil // other types, for example bookmarks, carry no change
}
