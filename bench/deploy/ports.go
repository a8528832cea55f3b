package deploy

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// portLow (inclusive) and portHigh (exclusive) bound the allocated ports. They are below the range from which the
	// kernel takes the ports of outgoing connections, as such a connection could occupy an allocated port before the
	// process that listens on it has started.
	portLow  = 12000
	portHigh = 32000
)

// Ports allocates loopback addresses with free ports. It returns no address twice.
type Ports struct {
	// nextOffset is the next port to try, from portLow; untried counts the ports not yet tried.
	nextOffset, untried int
}

// NewPorts returns an allocator whose first port depends on seed, so that deployments started at the same time
// with different seeds are unlikely to get the same ports.
func NewPorts(seed int) *Ports {
	n := portHigh - portLow
	return &Ports{nextOffset: seed % n, untried: n}
}

// NextAddress returns an address on which no process listens. Errors wrap ErrUndeployable.
func (p *Ports) NextAddress() (string, error) {
	for p.untried > 0 {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(portLow+p.nextOffset))
		p.nextOffset = (p.nextOffset + 1) % (portHigh - portLow)
		p.untried--
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.Wrap(ErrUndeployable, "no free port on loopback")
}
