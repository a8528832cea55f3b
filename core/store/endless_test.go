package store_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/store"
)

// Guards against an object API whose refusal of a watch never ends and takes the memory of the process.
func TestEndlessRefusalOfAWatchIsCut(t *testing.T) {
	g := NewWithT(t)
	const sentMax = 256 << 20
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, err := w.Write([]byte(`"`))
		for block := []byte(strings.Repeat("a", 1<<20)); err == nil && sent.Load() < sentMax; sent.Add(1 << 20) {
			_, err = w.Write(block)
		}
	}))
	t.Cleanup(srv.Close)
	err := store.NewHTTP(strings.TrimPrefix(srv.URL, "http://")).Watch(t.Context(), "x", "1", func(store.Change) {})
	g.Expect(err).To(HaveOccurred())
	g.Expect(sent.Load()).To(BeNumerically("<", sentMax/4))
}
