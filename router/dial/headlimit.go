package dial

import (
	"net"

	"github.com/pkg/errors"
)

// HeadMax limits the bytes that a target sends before the body of its answer, interim answers included. It
// also covers what the buffer of the connection reads ahead.
const HeadMax = 128 << 10

// ErrHeadTooLarge means that a target sent HeadMax bytes that are no complete head of an answer.
var ErrHeadTooLarge = errors.Errorf("head of the answer is larger than %d bytes", HeadMax)

// limitedConn limits the bytes that are read while limited is true. One goroutine reads at a time.
type limitedConn struct {
	net.Conn
	limited bool
	left    int
}

// Limit starts to count bytes, of which n may be read.
func (c *limitedConn) Limit(n int) { c.limited, c.left = true, n }

// Unlimit ends the limit.
func (c *limitedConn) Unlimit() { c.limited = false }

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	if !c.limited {
		return c.Conn.Read(b)
	}
	if c.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err = c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}
