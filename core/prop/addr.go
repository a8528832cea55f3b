package prop

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// portFirst and portCount bound the ports of FreeAddr. They are below those that the kernel assigns to outgoing
	// connections and to listeners that ask for any port.
	portFirst = 10_000
	portCount = 10_000
	// portStep separates the first ports of processes with neighbouring ids.
	portStep = 101
)

// addrCount counts the ports tried by this process.
var addrCount atomic.Int64

// FreeAddr returns a loopback address on which nothing listens. It returns each address at most once per process.
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
