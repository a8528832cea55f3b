package accept

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryvane.example/core/fault"
)

// Limit is a limit that a connection reached.
type Limit uint8

// Limits.
const (
	noLimit Limit = iota
	// HeaderBytes: the header section is larger than it may be.
	HeaderBytes
	// HeaderTime: the header section was not read in time.
	HeaderTime
	// Memory: there is no memory for the header section, or it was needed for other connections.
	Memory
	// Conns: there are as many connections as memory and descriptors allow.
	Conns
	// Reader: the client reads an answer too slowly, and the memory for unread answers is short.
	Reader
	limitCount
)

var limitNames = [...]string{noLimit: "none", HeaderBytes: "header-bytes", HeaderTime: "header-time", Memory: "memory", Conns: "conns", Reader: "reader"}

// String returns the name used in log lines and metrics.
func (l Limit) String() string { return limitNames[l] }

const (
	// reportInterval is the time between two reports of one limit.
	reportInterval = time.Second
	// refusalTime limits the writing of a refusal, and the time for which the rest of what the client sent is read, as a
	// close with unread bytes could take the refusal from the client. drainMax limits these bytes.
	refusalTime = 20 * time.Millisecond
	drainMax    = 64 << 10
	// memoryRetryAfter is the time after which a request for which there was no memory may be sent again: some others
	// have ended then. It is a whole second because not all callers read fractions.
	memoryRetryAfter = time.Second
)

// reports combines reports of limits, so that a flood of clients is no flood of log lines.
type reports struct {
	f func(l Limit, remote net.Addr, count int)

	// mu guards the fields below.
	mu   sync.Mutex
	last [limitCount]time.Time
	// counts are the connections that reached a limit since its last report.
	counts [limitCount]int
}

// add reports a connection, unless another one reached the limit within reportInterval.
func (r *reports) add(now time.Time, l Limit, remote net.Addr) {
	r.mu.Lock()
	r.counts[l]++
	n := r.counts[l]
	report := now.Sub(r.last[l]) >= reportInterval
	if report {
		r.last[l], r.counts[l] = now, 0
	}
	r.mu.Unlock()
	if report {
		r.f(l, remote, n)
	}
}

// refusal returns the answer to a request of which only a part was read; empty if the connection is only closed.
func (l Limit) refusal() []byte {
	var f *fault.Error
	after := ""
	switch l {
	case HeaderBytes:
		f = fault.NotRunf(fault.Invalid, "the header section is larger than the limit")
		f.StatusOverride = http.StatusRequestHeaderFieldsTooLarge
	case HeaderTime:
		f = fault.NotRunf(fault.Deadline, "the header section did not arrive in time")
		f.StatusOverride = http.StatusRequestTimeout
	case Memory:
		f = fault.NotRunf(fault.Shed, "header sections use all memory that is reserved for them")
		after = fmt.Sprintf("Retry-After: %d\r\n", memoryRetryAfter/time.Second)
	default:
		return nil
	}
	body, err := json.Marshal(fault.NewProblem(f, ""))
	if err != nil {
		return nil // a Problem has only strings and numbers
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		f.Status(), http.StatusText(f.Status()), fault.ContentType, after, len(body), body)
}
