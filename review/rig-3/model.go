package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The model service of the site: an event of a stream holds 6 tokens and comes after 22 ms, and an engine runs 11 requests.
const (
	modelSlots  = 11
	modelStride = 6
	eventGap    = 22 * time.Millisecond
	kvCapacity  = 537_912
)

// Another caller of an engine ("anyone may call it") sends it one request with a long prompt now and then. Its memory grows
// as the prompt is read, and stays until otherTime later, when its answer ends. Requests that came after it are preempted as
// long as the memory does not suffice: for more than a pause of a second or so, and less than the gap after which their
// clients leave (3.2 s). Those that came before it are not.
const (
	otherTime = 2900 * time.Millisecond
	// readPerMilli is the number of prompt tokens that an engine reads in a millisecond, chunkTime the time for one chunk of
	// 4,096, which delays the events of the requests beside it.
	readPerMilli = 125
	chunkTime    = 4096 / readPerMilli * time.Millisecond
)

// leaveGap is the gap after which clients leave: the longest of two seconds, four times the objective of 400 ms or eight
// times the pause of 400 ms that the sheet allows.
const leaveGap = 3200 * time.Millisecond

// streamRun is the work of one engine on one request.
type streamRun struct {
	engine string
	began  time.Time
	// first and last are the times of the first and the last event that the engine made.
	first, last time.Time
	// tokens is what it holds of the memory of the engine; done is true once the work has ended.
	tokens int
	done   bool
}

// modelEngines are stand-ins for the engines of a model service. They are sound. Most of them drop a request when its
// connection closes; every third one does not if someKeepOn is true.
type modelEngines struct {
	rig        *rig
	someKeepOn bool
	// other is the number of prompt tokens of the other caller's request, which reaches each engine once in the time otherEvery.
	other      int
	otherEvery time.Duration

	mu   sync.Mutex
	runs map[string][]*streamRun
	// at lists the work of each engine in its order.
	at map[string][]*streamRun
}

// start starts n engines.
func (m *modelEngines) start(n int) error {
	m.runs, m.at = map[string][]*streamRun{}, map[string][]*streamRun{}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		id := fmt.Sprintf("i-model%d", i+1)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { m.serve(id, m.someKeepOn && i%3 == 0, w, q) })}
		go func() { _ = s.Serve(ln) }()
		m.rig.closers = append(m.rig.closers, s)
		zone := []string{"west-a", "west-b", "east-a"}[i%3]
		m.rig.store.put("servers", id, map[string]any{
			"service": "model", "address": ln.Addr().String(), "zone": zone, "version": "v1", "slots": modelSlots, "state": "ready",
			"cold-remaining-ms": 0, "sequence": 0, "born": time.Now().UnixMilli(),
		})
	}
	return nil
}

func (m *modelEngines) serve(engine string, keepsOn bool, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", engine)
	if want := q.Header.Get("Expect-Instance"); want != engine {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	events, _ := strconv.Atoi(q.Header.Get("X-Events"))
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	counts, _, _ := strings.Cut(q.Header.Get("Token-Counts"), ",")
	prompt, _ := strconv.Atoi(counts)
	run := &streamRun{engine: engine, began: time.Now(), tokens: prompt}
	m.mu.Lock()
	m.runs[id] = append(m.runs[id], run)
	m.at[engine] = append(m.at[engine], run)
	m.mu.Unlock()
	defer m.end(run)
	w.Header().Set("Server-Stamp", engine+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for !m.hasRoom(run) && q.Context().Err() == nil { // it waits in the queue
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(60*time.Millisecond + time.Duration(prompt/readPerMilli)*time.Millisecond)
	for i := from + 1; i <= events; i++ {
		if began := time.Now(); !m.hasRoom(run) {
			for !m.hasRoom(run) {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(time.Duration(run.tokens/readPerMilli) * time.Millisecond) // it is read again
			m.rig.note("engine %s preempted %s before event %d and read it again %.3f s later", engine, id, i, time.Since(began).Seconds())
		}
		if !keepsOn && q.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i) // the caller may have left
		w.(http.Flusher).Flush()
		m.mu.Lock()
		run.last = time.Now()
		if run.first.IsZero() {
			run.first = run.last
		}
		run.tokens += modelStride
		m.mu.Unlock()
		time.Sleep(m.gap(engine))
	}
}

// end ends the work of an engine on a request.
func (m *modelEngines) end(run *streamRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run.done = true
	m.at[run.engine] = slices.DeleteFunc(m.at[run.engine], func(o *streamRun) bool { return o == run })
}

// otherRequest returns the time at which the newest request of the other caller came to an engine, and the tokens that it
// holds now: zero once it has ended.
func (m *modelEngines) otherRequest(engine string) (came time.Time, tokens int) {
	if m.other == 0 {
		return time.Time{}, 0
	}
	phase := time.Duration(engine[len(engine)-1]) * 3700 * time.Millisecond
	age := (time.Since(m.rig.began) + phase) % m.otherEvery
	read := time.Duration(m.other/readPerMilli) * time.Millisecond
	if age > read+otherTime {
		return time.Time{}, 0
	}
	return time.Now().Add(-age), min(m.other, int(age.Milliseconds())*readPerMilli)
}

// gap returns the time between two events of a stream.
func (m *modelEngines) gap(engine string) time.Duration {
	if _, tokens := m.otherRequest(engine); tokens > 0 && tokens < m.other {
		return eventGap + chunkTime
	}
	return eventGap
}

// hasRoom reports whether the memory and the slots of an engine suffice for a request and those that came before it.
func (m *modelEngines) hasRoom(run *streamRun) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum, before := 0, 0
	if came, tokens := m.otherRequest(run.engine); tokens > 0 && came.Before(run.began) {
		sum, before = tokens, 1
	}
	for _, o := range m.at[run.engine] {
		sum += o.tokens
		if o == run {
			break
		}
		before++
	}
	return sum <= kvCapacity && before < modelSlots
}

// modelConfig returns a configuration with the streaming routes of the site: assessments, which may run once, and answers,
// which may be resumed at a second engine.
func modelConfig() map[string]any {
	c := config(7)
	route := func(name, prefix string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path-prefix": prefix, "kind": "streaming", "timeout-ms": timeout, "answer-target-ms": target,
			"priority": priority, "service": "model", "attempts": attempts, "public": true, "sticky": true, "resumable": resumable, "gap-target-ms": 400,
		}
	}
	c["routes"] = []any{route("r-assessment", "/assessment/", 15000, 600, 0, 1, false), route("r-answer", "/answer/", 12000, 400, 1, 2, true)}
	c["services"] = []any{map[string]any{
		"name": "model", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": modelSlots, "kv-capacity": kvCapacity, "stride": modelStride},
	}}
	return c
}

// streamCall is a stream as its client saw it.
type streamCall struct {
	id, path string
	sent     time.Time
	ended    time.Time
	deadline time.Duration
	status   int
	events   int
	// whole is true for a complete answer of any status, complete for one with status 200, left if the client gave up.
	whole, complete, left bool
	err                   error
}

// drawEvents returns the length of an answer in events: lognormal as on the sheet, and the client's hint in tokens, which is
// accurate at the median with the spread of the site file.
func drawEvents(mean float64, most int) (events, hint int) {
	events = draw(mean, 1.5, most)
	return events, max(int(float64(events*modelStride)*math.Exp(0.5*rand.NormFloat64())), 1)
}

// draw returns a number with a lognormal distribution of the given mean, between 1 and most.
func draw(mean, spread float64, most int) int {
	mu := math.Log(mean) - spread*spread/2
	return min(max(int(math.Exp(mu+spread*rand.NormFloat64())), 1), most)
}

// streamOnce sends one stream on a new connection and reads it.
func streamOnce(addr, path, id string, prompt, events, hint, most int, deadline time.Duration) (c streamCall) {
	c = streamCall{id: id, path: path, sent: time.Now(), deadline: deadline}
	defer func() { c.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		c.err = err
		return c
	}
	defer func() { _ = conn.Close() }()
	c.sent = time.Now()
	text := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Counts: %d,%d\r\nLength-Hint: %d\r\nPrompt-Prefix: 5c1e07a2:60,%s:%d\r\nX-Events: %d\r\nDeadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi",
		path, id, prompt, most*modelStride, hint, strings.ReplaceAll(id, "-", ""), max(prompt-60, 1), events, deadline.Milliseconds())
	if _, err = io.WriteString(conn, text); err != nil {
		c.err = err
		return c
	}
	end := c.sent.Add(deadline)
	wait := func() { _ = conn.SetReadDeadline(earliest(end, time.Now().Add(leaveGap))) }
	wait()
	in := bufio.NewReader(conn)
	res, err := http.ReadResponse(in, nil)
	if err == nil {
		c.status = res.StatusCode
		lines := bufio.NewReader(res.Body)
		for err == nil {
			var line string
			wait()
			if line, err = lines.ReadString('\n'); strings.HasPrefix(line, "id: ") {
				c.events++
			}
		}
	}
	var ne net.Error
	c.left = errors.As(err, &ne) && ne.Timeout()
	c.whole = err == io.EOF && c.status != 0
	c.complete = c.whole && c.status == http.StatusOK
	if !c.complete {
		c.err = err
	}
	return c
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
