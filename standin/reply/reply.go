// Package reply has the HTTP helpers that the stand-ins share: reading of bodies, and JSON replies.
package reply

import (
	"encoding/json"
	"io"
	"net/http"
)

// bodyBytesMax bounds the body of a call to a stand-in.
const bodyBytesMax = 16 << 20

// JSON sends v with the given status.
func JSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// Error sends a JSON object whose field "error" is detail.
func Error(w http.ResponseWriter, code int, detail string) {
	JSON(w, code, map[string]string{"error": detail})
}

// ReadJSON decodes the JSON body of r into v. It answers 400 and returns false if the body is malformed, too large
// or has unknown fields.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyBytesMax))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// ReadBody reads the complete body of r. It answers 400 and returns false when that fails.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyBytesMax))
	if err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return b, true
}

// Abort closes the connection before or during the answer, as the crash of a process does.
// If w has no connection to close, as in tests, it answers 500 instead.
func Abort(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_ = c.Close()
}

// EchoID sets the id of the request in the answer, so that the client can tell answers apart.
func EchoID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
}
