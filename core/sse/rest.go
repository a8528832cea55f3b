package sse

import (
	"mime"
	"net/http"
	"strconv"
)

// Format is what the rest of a stream must have in common with its beginning. Any other answer of the next
// target, for example an error, must not reach a caller in the middle of the stream.
type Format struct {
	status              int
	mediaType, encoding string
}

// FormatOf returns the format of an answer.
func FormatOf(status int, h http.Header) Format {
	f := Format{status: status, mediaType: h.Get("Content-Type"), encoding: h.Get("Content-Encoding")}
	if m, _, _ := mime.ParseMediaType(f.mediaType); m != "" { // an invalid parameter leaves the type
		f.mediaType = m
	}
	return f
}

// IsEvents reports whether the body of the answer is a stream of events, unencoded.
func (f Format) IsEvents() bool { return f.mediaType == "text/event-stream" && f.encoding == "" }

// Follows reports whether an event may come after the event last in a stream whose ids increase. Ids that are no
// numbers are of unknown order.
func Follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || n > m
}
