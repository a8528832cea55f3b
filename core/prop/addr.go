package prop

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// portFirst and ports bound the ports of FreeAddr, below those that the kernel gives to outgoing
	// connections and to listeners without a port.
	portFirst = 10_000
	ports     = 10_000
	// portStep spreads the first ports of processes with neighbouring ids.
	portStep = 101
)

var given atomic.Int64

// FreeAddr returns a loopback address on which nothing listens. An address is returned once per process.
func FreeAddr() (string, error) {
	for range ports {
		n := (int64(os.Getpid())*portStep + given.Add(1)) % ports
		addr := fmt.Sprintf("127.0.0.1:%d", portFirst+n)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d on", portFirst)
}
