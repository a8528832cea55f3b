package prop

import (
	"net"
	"sync"
	"sync/atomic"
)

// Recorder is a listener that counts the bytes that were read from its connections and the writes to them, as a caller
// cannot see whether a request was read before its connection was closed.
type Recorder struct {
	net.Listener
	mu    sync.Mutex
	conns []*recorded
}

// recorded counts the bytes that were read and the writes that succeeded.
type recorded struct {
	net.Conn
	read, writes atomic.Int64
}

// Accept implements net.Listener.
func (r *Recorder) Accept() (net.Conn, error) {
	k, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &recorded{Conn: k}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return c, nil
}

// Unanswered returns the number of requests that were read whole and not answered, if all requests have the given
// size in bytes and each answer takes one write.
func (r *Recorder) Unanswered(requestSize int) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		n += max(int(c.read.Load())/requestSize-int(c.writes.Load()), 0)
	}
	return n
}

// Read implements net.Conn.
func (c *recorded) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *recorded) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == nil {
		c.writes.Add(1)
	}
	return n, err
}
