package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ring"
)

const (
	// writeTimeout bounds one write to a caller.
	writeTimeout = 30 * time.Second
	// bufferMax is the largest answer without a stream that is held back until it is known to be whole.
	bufferMax = 1 << 20
)

// writer passes an answer on to a caller.
type writer struct {
	w       http.ResponseWriter
	secret  []byte
	session string
	head    *Head
	// stream is true for server-sent events; sent is true once the header was written.
	stream bool
	sent   bool
	buf    []byte
	// done is true when nothing more is to be written; ended when the call itself has ended; abort when the
	// connection must be broken, because a part of an answer was sent without a sign of its end.
	done  bool
	ended bool
	abort bool
}

// drain writes all parts that are ready and returns the bytes of data among them.
func (o *writer) drain(parts *ring.Ring[Part]) (n ident.Bytes) {
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported in some tests
	for p, ok := parts.Take(); ok && !o.done; p, ok = parts.Take() {
		if p.Data != nil {
			n += ident.Bytes(len(p.Data.Data))
		}
		o.part(p)
	}
	if o.stream && o.sent && !o.done {
		if http.NewResponseController(o.w).Flush() != nil {
			o.done = true
		}
	}
	return n
}

func (o *writer) part(p Part) {
	switch {
	case p.Head != nil:
		o.begin(p.Head)
	case p.Data != nil && o.stream:
		o.write(chat.Event{ID: strconv.FormatUint(uint64(p.Data.Seq), 10), Data: p.Data.Data}.Append(nil))
	case p.Data != nil:
		o.body(p.Data.Data)
	case p.Whole:
		o.whole()
	case p.Fault != nil:
		o.fail(p.Fault)
	}
}

func (o *writer) begin(h *Head) {
	o.head = h
	o.stream = h.Status == http.StatusOK && strings.HasPrefix(h.Type, streamType)
	hd := o.w.Header()
	hd.Set(headerRequest, string(h.Request))
	hd.Set(headerAnswer, sealToken(o.secret, token{
		Agent: h.Agent, Boot: h.Boot, Request: h.Request, Account: h.Account, Service: h.Service,
	}))
	if h.Version != "" {
		if o.session == "" {
			o.session = string(h.Request)
		}
		hd.Set(headerSession, string(h.Version)+"."+o.session)
	}
	if h.Type != "" {
		hd.Set("Content-Type", h.Type)
	}
	if o.stream {
		hd.Set("Cache-Control", "no-store")
		o.header()
	}
}

func (o *writer) header() {
	if !o.sent {
		o.sent = true
		o.w.WriteHeader(o.head.Status)
	}
}

// body holds an answer back until it is whole, as long as it is small enough.
func (o *writer) body(b []byte) {
	if o.sent {
		o.write(b)
		return
	}
	if o.buf = append(o.buf, b...); len(o.buf) > bufferMax {
		o.header()
		o.write(o.buf)
		o.buf = nil
	}
}

func (o *writer) whole() {
	o.done, o.ended = true, true
	switch {
	case o.stream:
		o.write(chat.Event{Data: []byte(chat.Done)}.Append(nil))
	case o.head == nil: // the caller already has all of the answer but its end
		o.w.Header().Set("Content-Type", streamType)
		o.write(chat.Event{Data: []byte(chat.Done)}.Append(nil))
	case !o.sent:
		o.w.Header().Set("Content-Length", strconv.Itoa(len(o.buf)))
		o.header()
		o.write(o.buf)
	}
}

// fail tells the caller why it gets no whole answer. A stream gets an error event and no end mark.
func (o *writer) fail(e *fault.Error) {
	o.done, o.ended = true, true
	id := ""
	if o.head != nil {
		id = string(o.head.Request)
	}
	switch {
	case o.stream:
		b, err := json.Marshal(fault.NewProblem(e, id))
		if err != nil {
			o.abort = true
			return
		}
		o.write(chat.Event{Name: "error", Data: b}.Append(nil))
	case o.sent:
		o.abort = true
	default:
		fault.Write(o.w, e, id)
	}
}

// cut ends the answer because the router ends.
func (o *writer) cut() {
	o.fail(&fault.Error{Run: fault.Unknown, Reason: fault.Lost, Detail: "this router ended"})
	o.ended = true
}

func (o *writer) write(b []byte) {
	if _, err := o.w.Write(b); err != nil {
		o.done = true
	}
}
