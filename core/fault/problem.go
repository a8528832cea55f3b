package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// ContentType is the media type of a Problem.
const ContentType = "application/problem+json"

// Problem is the form of an Error for callers (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Run    string `json:"run"`
	Reason Reason `json:"reason"`
	ID     string `json:"id,omitempty"`
}

// ProblemOf returns the problem document of e for the request with the given id.
func ProblemOf(e *Error, id string) Problem {
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
	return "Client Closed Request"
}

// Write sends e as a problem document. The header must not have been sent yet.
func Write(w http.ResponseWriter, e *Error, id string) {
	write(w, e, id, strconv.Itoa(int(math.Ceil(e.Retry.Seconds()))))
}

// WriteFine is Write for callers that take a Retry-After in fractions of a second.
func WriteFine(w http.ResponseWriter, e *Error, id string) {
	write(w, e, id, strconv.FormatFloat(math.Ceil(e.Retry.Seconds()*1000)/1000, 'f', -1, 64))
}

func write(w http.ResponseWriter, e *Error, id, after string) {
	w.Header().Set("Content-Type", ContentType)
	if e.Retry > 0 {
		w.Header().Set("Retry-After", after)
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(ProblemOf(e, id)) // the caller may be gone
}
