package deploy

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// portLow and portHigh bound the ports in use. They are below the range from which the kernel takes the
	// ports of outgoing connections, so that none of these occupies a port before its process starts.
	portLow  = 12000
	portHigh = 32000
)

// Ports gives loopback addresses with free ports, each once.
type Ports struct {
	nextOffset, untried int
}

// NewPorts returns a source that begins at a place given by seed, so that deployments started at the same
// time are unlikely to get the same ports.
func NewPorts(seed int) *Ports {
	n := portHigh - portLow
	return &Ports{nextOffset: seed % n, untried: n}
}

// Next returns an address on which nothing listens. Errors wrap ErrDeploy.
func (p *Ports) NextAddress() (string, error) {
	for p.untried > 0 {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(portLow+p.nextOffset))
		p.nextOffset = (p.nextOffset + 1) % (portHigh - portLow)
		p.untried--
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.Wrap(ErrUndeployable, "no port is free")
}
