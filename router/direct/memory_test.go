package direct_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/router/direct"
)

// largeBody is a body of 2 MB.
var largeBody = strings.Repeat("x", 2<<20)

// startSmallRouter starts a router of 64 MB, which has room for ten of largeBody of one account.
func startSmallRouter(t *testing.T, script func(int, *http.Request, net.Conn) bool) (*env, *scriptedTarget) {
	x := startTarget(t, "t1", script)
	e := newEnv(t)
	e.cfg.MemoryMB = 64
	e.putObject("targets", x.id, fleet.Target{ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: "a1", Slots: 40, Boot: 1})
	e.runRouter(t, e.store)
	return e, x
}

// Guards against bodies that are held without a common bound; and against small ones that are refused, or wait, because
// large ones fill the room. What was refused has not run.
func TestLargeBodiesShareOneLimit(t *testing.T) {
	release := make(chan struct{})
	e, x := startSmallRouter(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.ContentLength > 1 {
			<-release
		}
		return writeAnswer(c, r, 200, "ok")
	})
	var mu sync.Mutex
	codes := map[int]int{}
	var all sync.WaitGroup
	for range 14 {
		all.Go(func() {
			a := e.request("POST", "/safe/", largeBody)
			mu.Lock()
			defer mu.Unlock()
			codes[a.code]++
			e.g.Expect(a.err).NotTo(HaveOccurred(), "a caller who still sends gets the refusal, too")
			if a.code == http.StatusServiceUnavailable {
				e.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				e.g.Expect(a.body).To(ContainSubstring("not run"))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	for range 5 {
		e.g.Expect(e.request("POST", "/safe/", "x").code).To(Equal(200))
	}
	close(release)
	all.Wait()
	e.g.Expect(codes).To(Equal(map[int]int{200: 10, 503: 4}))
	e.g.Expect(x.requests()).To(HaveLen(10 + 5))
	e.g.Expect(e.request("POST", "/safe/", largeBody).code).To(Equal(200), "the room is free again")
}

// Guards against one account whose large bodies leave no room for those of others, and against bodies and answers that
// together pass the limit.
func TestOneAccountLeavesRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	m := direct.NewMemory(64)
	for range 20 {
		_ = m.Hold("a", 2<<20)
	}
	g.Expect(m.Hold("a", 2<<20)).NotTo(Succeed())
	g.Expect(m.Hold("b", 2<<20)).To(Succeed())
	for range 1000 {
		_ = m.Hold("a", 60<<10)
	}
	g.Expect(m.Hold("c", 60<<10)).NotTo(Succeed())
	for m.ReserveAnswer(1 << 20) {
	}
	g.Expect(m.Used()).To(BeNumerically("<=", 39<<20))
}

// Guards against senders that take room by the length that they announce, before they send it.
func TestSlowSendersHoldWhatTheySent(t *testing.T) {
	e, _ := startSmallRouter(t, whole)
	for range 40 {
		c, err := net.Dial("tcp", e.cfg.Listen)
		e.g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Id: slow\r\nX-Left: 3000\r\nContent-Length: 4194304\r\n\r\n"+largeBody[:1024])
	}
	time.Sleep(100 * time.Millisecond)
	e.g.Expect(e.request("POST", "/safe/", largeBody).code).To(Equal(200))
}

// Guards against the body of a request that is held until its answer has ended, although it cannot be sent again.
func TestBodyIsReleasedOnceItCannotBeSentAgain(t *testing.T) {
	release := make(chan struct{})
	var n atomic.Int32
	e, _ := startSmallRouter(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		n.Add(1)
		<-release
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	var all sync.WaitGroup
	for i := range 14 {
		all.Go(func() { e.g.Expect(e.request("POST", "/stream/", largeBody).code).To(Equal(200)) })
		e.g.Eventually(n.Load, 2*time.Second).Should(Equal(int32(i + 1)))
		time.Sleep(20 * time.Millisecond)
	}
	close(release)
	all.Wait()
}

// Guards against bodies that are cut, doubled or shifted where the pieces meet in which they are read.
func TestBodiesOfAllSizesAreForwarded(t *testing.T) {
	e, x := startSmallRouter(t, whole)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 65535, 65536, 65537, 200_000, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			b := make([]byte, size)
			for i := range b {
				b[i] = byte('a' + i%23)
			}
			var r io.Reader = bytes.NewReader(b)
			if chunked {
				r = io.MultiReader(r) // of unknown length
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+e.cfg.Listen+"/safe/", r)
			e.g.Expect(err).NotTo(HaveOccurred())
			req.Host = "h.example"
			req.Header.Set("X-Id", strconv.Itoa(size))
			res, err := http.DefaultClient.Do(req)
			e.g.Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
			e.g.Expect(res.StatusCode).To(Equal(200))
			x.mu.Lock()
			got := x.bodies[len(x.bodies)-1]
			x.mu.Unlock()
			e.g.Expect(got == string(b)).To(BeTrue(), fmt.Sprint(size, chunked))
		}
	}
	res, err := http.Post("http://"+e.cfg.Listen+"/safe/", "text/plain", strings.NewReader(strings.Repeat("x", 5<<20)))
	e.g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	e.g.Expect(res.StatusCode).To(Equal(404), "another host")
}

func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{300, 3000, 12_000, 72_000, 2 << 20} {
		data := make([]byte, size)
		b.Run(fmt.Sprint("bound/", size), func(b *testing.B) {
			m := direct.NewMemory(134)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := m.ReadBody(bytes.NewReader(data), int64(size), 4<<20); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("readall/", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.ReadAll(io.LimitReader(bytes.NewReader(data), 4<<20)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
