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
	bufferBytesMax = 1 << 20
)

// writer passes an answer on to a caller.
type answerWriter struct {
	w       http.ResponseWriter
	secret  []byte
	session string
	head    *Head
	// stream is true for server-sent events; sent is true once the header was written.
	isStream   bool
	headerSent bool
	buf        []byte
	// done is true when nothing more is to be written; ended when the call itself has ended; abort when the
	// connection must be broken, because a part of an answer was sent without a sign of its end.
	done            bool
	callEnded       bool
	abortConnection bool
}

// drain writes all parts that are ready and returns the bytes of data among them.
func (o *answerWriter) writeReady(parts *ring.Ring[ReplyPart]) (n ident.Bytes) {
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported in some tests
	for p, ok := parts.Take(); ok && !o.done; p, ok = parts.Take() {
		if p.Data != nil {
			n += ident.Bytes(len(p.Data.Payload))
		}
		o.writePart(p)
	}
	if o.isStream && o.headerSent && !o.done {
		if http.NewResponseController(o.w).Flush() != nil {
			o.done = true
		}
	}
	return n
}

func (o *answerWriter) writePart(p ReplyPart) {
	switch {
	case p.Head != nil:
		o.writeHead(p.Head)
	case p.Data != nil && o.isStream:
		o.write(chat.Event{ID: strconv.FormatUint(uint64(p.Data.Seq), 10), Data: p.Data.Payload}.Append(nil))
	case p.Data != nil:
		o.writeBody(p.Data.Payload)
	case p.Complete:
		o.writeEnd()
	case p.Fault != nil:
		o.writeFault(p.Fault)
	}
}

func (o *answerWriter) writeHead(h *Head) {
	o.head = h
	o.isStream = h.Status == http.StatusOK && strings.HasPrefix(h.ContentType, eventStreamType)
	hd := o.w.Header()
	hd.Set(headerRequest, string(h.RequestID))
	hd.Set(headerAnswer, sealToken(o.secret, token{
		Agent: h.Agent, Boot: h.Boot, Request: h.RequestID, Account: h.Account, Service: h.Service,
	}))
	if h.Version != "" {
		if o.session == "" {
			o.session = string(h.RequestID)
		}
		hd.Set(headerSession, string(h.Version)+"."+o.session)
	}
	if h.ContentType != "" {
		hd.Set("Content-Type", h.ContentType)
	}
	if o.isStream {
		hd.Set("Cache-Control", "no-store")
		o.writeHeader()
	}
}

func (o *answerWriter) writeHeader() {
	if !o.headerSent {
		o.headerSent = true
		o.w.WriteHeader(o.head.Status)
	}
}

// body holds an answer back until it is whole, as long as it is small enough.
func (o *answerWriter) writeBody(b []byte) {
	if o.headerSent {
		o.write(b)
		return
	}
	if o.buf = append(o.buf, b...); len(o.buf) > bufferBytesMax {
		o.writeHeader()
		o.write(o.buf)
		o.buf = nil
	}
}

func (o *answerWriter) writeEnd() {
	o.done, o.callEnded = true, true
	switch {
	case o.isStream:
		o.write(chat.Event{Data: []byte(chat.Done)}.Append(nil))
	case o.head == nil: // the caller already has all of the answer but its end
		o.w.Header().Set("Content-Type", eventStreamType)
		o.write(chat.Event{Data: []byte(chat.Done)}.Append(nil))
	case !o.headerSent:
		o.w.Header().Set("Content-Length", strconv.Itoa(len(o.buf)))
		o.writeHeader()
		o.write(o.buf)
	}
}

// fail tells the caller why it gets no whole answer. A stream gets an error event and no end mark.
func (o *answerWriter) writeFault(e *fault.Error) {
	o.done, o.callEnded = true, true
	id := ""
	if o.head != nil {
		id = string(o.head.RequestID)
	}
	switch {
	case o.isStream:
		b, err := json.Marshal(fault.NewProblem(e, id))
		if err != nil {
			o.abortConnection = true
			return
		}
		o.write(chat.Event{Name: "error", Data: b}.Append(nil))
	case o.headerSent:
		o.abortConnection = true
	default:
		fault.Write(o.w, e, id)
	}
}

// cut ends the answer because the router ends.
func (o *answerWriter) writeShutdown() {
	o.writeFault(&fault.Error{Run: fault.Unknown, Reason: fault.Lost, Detail: "this router ended"})
	o.callEnded = true
}

func (o *answerWriter) write(b []byte) {
	if _, err := o.w.Write(b); err != nil {
		o.done = true
	}
}
