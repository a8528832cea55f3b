package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a Problem.
const ContentType = "application/problem+json"

// Problem is the problem document of an Error for callers (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Run    string `json:"run"`
	Reason Reason `json:"reason"`
	ID     string `json:"id,omitempty"`
}

// NewProblem returns the problem document of e for the request with the given id.
func NewProblem(e *Error, id string) Problem {
	return Problem{
		Type:   "about:blank",
		Title:  title(e.Status()),
		Status: e.Status(),
		Detail: e.Detail,
		Run:    e.Run.String(),
		Reason: e.Reason,
		ID:     id,
	}
}

func title(code int) string {
	if s := http.StatusText(code); s != "" {
		return s
	}
	return "Client Closed Request" // status 499, which net/http does not name
}

// Write sends e as a problem document. The header must not have been sent yet.
func Write(w http.ResponseWriter, e *Error, id string) {
	writeProblem(w, e, id, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
}

// WriteFractionalRetry is Write for callers that accept a Retry-After in fractions of a second.
func WriteFractionalRetry(w http.ResponseWriter, e *Error, id string) {
	writeProblem(w, e, id, strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*1000)/1000, 'f', -1, 64))
}

// writeTime limits the writing of a problem. It is small, so only a client waits that has not read earlier answers.
const writeTime = 5 * time.Second

func writeProblem(w http.ResponseWriter, e *Error, id, retryAfter string) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime)) // test recorders do not support it
	w.Header().Set("Content-Type", ContentType)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(NewProblem(e, id)) // the client may have disconnected
}
