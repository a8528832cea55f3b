package direct_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

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
						time.Sleep(1300 * time.Millisecond)
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

// Guards against a stream that leaves a target which has preempted it for lack of memory and goes on with it, so that it
// runs twice, and against one that stays at a target which hangs although it has room.
func TestStreamStaysWhileItsTargetMayGoOn(t *testing.T) {
	for state, runs := range map[string]int{"0 50": 1, "1 5000": 1, "odd": 1, "0 5000": 2} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int32
			script := func(_ int, r *http.Request, c net.Conn) bool {
				rest := r.Header.Get("Last-Event-Id") != ""
				n.Add(1)
				writeStreamHead(c, r)
				if !rest {
					writeChunk(c, streamEvent(1))
					time.Sleep(2300 * time.Millisecond)
				}
				writeChunk(c, streamEvent(2))
				_, err := io.WriteString(c, "0\r\n\r\n")
				return err == nil
			}
			targets := []*scriptedTarget{startTarget(t, "t1", script), startTarget(t, "t2", script)}
			for _, x := range targets {
				x.state = state
			}
			e := startRouter(t, targets...)
			a := e.request("POST", "/resume/", "p", "X-Tokens", "100")
			e.g.Expect(a.err).NotTo(HaveOccurred())
			e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
			e.g.Expect(n.Load()).To(BeEquivalentTo(runs))
		})
	}
}

// silentScript is streamScript at a target that falls silent every 5 s, from offset on.
func silentScript(gap, offset time.Duration) func(int, *http.Request, net.Conn) bool {
	const every, silence = 5 * time.Second, 1400 * time.Millisecond
	began := time.Now()
	return func(_ int, r *http.Request, c net.Conn) bool {
		n, _ := strconv.Atoi(r.Header.Get("X-Events"))
		writeStreamHead(c, r)
		for i := range n {
			time.Sleep(gap)
			if into := (time.Since(began) + offset) % every; into < silence {
				time.Sleep(silence - into)
			}
			writeChunk(c, streamEvent(i+1))
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// Guards against streams that are taken late in a shutdown, meet the silence of a sound target and are cut.
func TestStreamsTakenWhileStoppingOutlastSilences(t *testing.T) {
	t.Parallel()
	var targets []*scriptedTarget
	for i := range 8 {
		targets = append(targets, startTarget(t, "t"+strconv.Itoa(i), silentScript(10*time.Millisecond, time.Duration(i)*620*time.Millisecond)))
	}
	e := startSlowStop(t, targets...)
	var n atomic.Int32
	send := func() answer {
		i := int(n.Add(1))
		path, events := "/stream/", strconv.Itoa(2+i%4*10)
		if i%2 == 0 {
			path = "/resume/"
		}
		return e.request("POST", path, "p", "X-Left", "12000", "X-Events", events, "X-Length", events)
	}
	var warm sync.WaitGroup
	for range 100 {
		warm.Go(func() { send() })
		time.Sleep(20 * time.Millisecond)
	}
	warm.Wait()
	var mu sync.Mutex
	codes := map[int]int{}
	e.sendWhileStopping(1900*time.Millisecond, func() {
		a := send()
		mu.Lock()
		defer mu.Unlock()
		codes[a.code]++
		e.g.Expect(a.err).NotTo(HaveOccurred())
	})
	e.g.Expect(codes).To(HaveKey(http.StatusOK))
	delete(codes, http.StatusOK)
	delete(codes, http.StatusServiceUnavailable)
	e.g.Expect(codes).To(BeEmpty())
}
