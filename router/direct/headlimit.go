package direct

import (
	"net"

	"github.com/pkg/errors"
)

// answerHeadMax limits the bytes that a target sends before the body of its answer, interim answers included. It
// also covers what the buffer of the connection reads ahead.
const answerHeadMax = 128 << 10

// errHeadTooLarge means that a target sent answerHeadMax bytes that are no complete head of an answer.
var errHeadTooLarge = errors.Errorf("head of the answer is larger than %d bytes", answerHeadMax)

// limitedConn limits the bytes that are read while limited is true. One goroutine reads at a time.
type limitedConn struct {
	net.Conn
	limited bool
	left    int
}

// limit starts to count bytes, of which n may be read.
func (c *limitedConn) limit(n int) { c.limited, c.left = true, n }

// unlimit ends the limit.
func (c *limitedConn) unlimit() { c.limited = false }

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	if !c.limited {
		return c.Conn.Read(b)
	}
	if c.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}
