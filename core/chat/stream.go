package chat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

const (
	// EventBytesMax is the largest server-sent event in bytes.
	EventBytesMax = 1 << 20
	// Done is the data of the event that ends a complete stream.
	Done = "[DONE]"
)

// ErrMalformedEvent means that a stream is not well-formed or an event is too large.
var ErrMalformedEvent = errors.New("malformed server-sent event")

// Delta is one event of a streamed answer.
type Delta struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer; Delta is set in streams, Message in answers that are not streamed.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt     ident.Tokens `json:"prompt_tokens"`
	Completion ident.Tokens `json:"completion_tokens"`
	Total      ident.Tokens `json:"total_tokens"`
	// Details is set by engines that report their prefix cache.
	Details *Details `json:"prompt_tokens_details,omitempty"`
}

// Details breaks down the prompt tokens.
type Details struct {
	Cached ident.Tokens `json:"cached_tokens"`
}

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data []byte
}

// Reader reads server-sent events.
type Reader struct{ scanner *bufio.Scanner }

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), EventBytesMax)
	return &Reader{scanner: s}
}

// Next returns the next event, io.EOF at the end of the stream, or another error; that of an event that is too large
// wraps ErrMalformedEvent.
func (r *Reader) Next() (e Event, err error) {
	hasFields := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if hasFields {
				return e, nil
			}
			continue
		}
		hasFields = e.addLine(line) || hasFields
	}
	if err = r.scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return e, errors.Wrap(ErrMalformedEvent, err.Error())
	} else if err != nil {
		return e, err
	}
	if hasFields { // the stream ended inside an event
		return Event{}, io.ErrUnexpectedEOF
	}
	return e, io.EOF
}

// addLine adds one line to the event and reports whether it was a known field.
func (e *Event) addLine(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	case "id":
		e.ID = string(value)
	case "event":
		e.Name = string(value)
	default:
		return false
	}
	return true
}

// Append appends the encoding of e to b.
func (e Event) Append(b []byte) []byte {
	if e.ID != "" {
		b = append(append(append(b, "id: "...), e.ID...), '\n')
	}
	if e.Name != "" {
		b = append(append(append(b, "event: "...), e.Name...), '\n')
	}
	for line := range bytes.SplitSeq(e.Data, []byte("\n")) {
		b = append(append(append(b, "data: "...), line...), '\n')
	}
	return append(b, '\n')
}

// ParseDelta reads the data of one event of a streamed answer.
func ParseDelta(data []byte) (d Delta, err error) {
	err = errors.WithMessage(json.Unmarshal(data, &d), "read answer")
	return d, err
}
