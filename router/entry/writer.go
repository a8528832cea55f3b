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
	// writeTimeout limits one write to a caller.
	writeTimeout = 30 * time.Second
	// bufferBytesMax is the largest non-streamed answer that is buffered until it is known to be complete.
	bufferBytesMax = 1 << 20
)

// answerWriter writes an answer to a caller.
type answerWriter struct {
	w       http.ResponseWriter
	secret  []byte
	session string
	head    *Head
	// isStream is true for server-sent events; headerSent is true once the header was written.
	isStream   bool
	headerSent bool
	buf        []byte
	// done is true when nothing more is to be written; callEnded when the call itself has ended; abortConnection
	// when the connection must be broken, because the answer is not complete and nothing else tells the caller so.
	done            bool
	callEnded       bool
	abortConnection bool
}

// writeReady writes all parts that are ready and returns the number of data bytes among them.
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
	header := o.w.Header()
	header.Set(headerRequest, string(h.RequestID))
	header.Set(headerAnswer, sealToken(o.secret, token{
		Agent: h.Agent, Boot: h.Boot, Request: h.RequestID, Account: h.Account, Service: h.Service,
	}))
	if h.Version != "" {
		if o.session == "" {
			o.session = string(h.RequestID)
		}
		header.Set(headerSession, string(h.Version)+"."+o.session)
	}
	if h.ContentType != "" {
		header.Set("Content-Type", h.ContentType)
	}
	if o.isStream {
		header.Set("Cache-Control", "no-store")
		o.writeHeader()
	}
}

func (o *answerWriter) writeHeader() {
	if !o.headerSent {
		o.headerSent = true
		o.w.WriteHeader(o.head.Status)
	}
}

// writeBody buffers an answer until it is complete, as long as it is small enough.
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

// writeFault tells the caller why it gets no complete answer. A stream gets an error event and no end marker.
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

// writeShutdown ends the answer because the router ends.
func (o *answerWriter) writeShutdown() {
	o.writeFault(&fault.Error{Run: fault.Unknown, Reason: fault.Lost, Detail: "this router ended"})
	o.callEnded = true
}

func (o *answerWriter) write(b []byte) {
	if _, err := o.w.Write(b); err != nil {
		o.done = true
	}
}
