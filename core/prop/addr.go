package prop

import (
	"fmt"
	"net"
	"os"
	"sync"
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

// claims holds a listener on another loopback address for each port that was returned. It keeps other test processes
// from using the port until this process ends.
var claims struct {
	mu        sync.Mutex
	listeners []net.Listener
}

// FreeAddr returns a loopback address on which nothing listens. It returns each address at most once in all processes
// that run at the same time.
func FreeAddr() (string, error) {
	for range portCount {
		n := (int64(os.Getpid())*portStep + addrCount.Add(1)) % portCount
		claim, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", portFirst+n))
		if err != nil {
			continue // another process has claimed it
		}
		addr := fmt.Sprintf("127.0.0.1:%d", portFirst+n)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			_ = claim.Close() // the port is not used
			continue
		}
		claims.mu.Lock()
		claims.listeners = append(claims.listeners, claim)
		claims.mu.Unlock()
		return addr, ln.Close()
	}
	return "", fmt.Errorf("no free port from %d on", portFirst)
}
