package direct

import (
	"mime"
	"strconv"
)

// answerFormat is what the rest of a stream must have in common with its beginning. Any other answer of the next
// target, for example an error, must not reach a caller in the middle of the stream.
type answerFormat struct {
	status              int
	mediaType, encoding string
}

func (x *exchange) format() answerFormat {
	f := answerFormat{status: x.StatusCode, mediaType: x.Header.Get("Content-Type"), encoding: x.Header.Get("Content-Encoding")}
	if m, _, err := mime.ParseMediaType(f.mediaType); err == nil {
		f.mediaType = m
	}
	return f
}

// follows reports whether an event may come after the event last in a stream whose ids increase. Ids that are no
// numbers are of unknown order.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || n > m
}
