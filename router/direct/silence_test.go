package direct_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// soundSilence is the time for which the sound targets of these tests fall silent.
const soundSilence = 1400 * time.Millisecond

// Guards against a stream that leaves a sound target which falls silent and goes on: the target still works on it while
// it runs at the next one, and it may meet the next silence there.
func TestStreamIsNotLeftWhileASoundTargetIsSilent(t *testing.T) {
	for _, silentAfter := range []int{0, 1} {
		t.Run(strconv.Itoa(silentAfter), func(t *testing.T) {
			t.Parallel()
			var n atomic.Int32
			script := func(_ int, r *http.Request, c net.Conn) bool {
				n.Add(1)
				writeStreamHead(c, r)
				for i := range 2 {
					if i == silentAfter {
						time.Sleep(soundSilence)
					}
					writeChunk(c, streamEvent(i+1))
				}
				_, err := io.WriteString(c, "0\r\n\r\n")
				return err == nil
			}
			e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
			a := e.request("POST", "/resume/", "p")
			e.g.Expect(a.err).NotTo(HaveOccurred())
			e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
			e.g.Expect(n.Load()).To(BeEquivalentTo(1))
		})
	}
}
