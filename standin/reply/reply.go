// Package reply holds the few HTTP helpers that the stand-ins share.
package reply

import (
	"encoding/json"
	"io"
	"net/http"
)

// bodyMax bounds the body of a call to a stand-in in bytes.
const bodyBytesMax = 16 << 20

// JSON sends v with the given status.
func JSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

// Error sends a JSON document with one sentence.
func Error(w http.ResponseWriter, code int, detail string) {
	JSON(w, code, map[string]string{"error": detail})
}

// Read reads the JSON body of r into v. It answers 400 and returns false when the body is malformed.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyBytesMax))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Body reads the whole body of r. It answers 400 and returns false when that fails.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyBytesMax))
	if err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return b, true
}

// Abort closes the connection without an answer, or in the middle of one, as a crash does.
// A writer that has no connection gets status 500 instead.
func Abort(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_ = c.Close()
}
