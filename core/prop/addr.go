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
	portCount = 10_000
	// portStep spreads the first ports of processes with neighbouring ids.
	portStep = 101
)

var addrCount atomic.Int64

// FreeAddr returns a loopback address on which nothing listens. An address is returned once per process.
func FreeAddr() (string, error) {
	for range portCount {
		n := (int64(os.Getpid())*portStep + addrCount.Add(1)) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", portFirst+n)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d on", portFirst)
}
