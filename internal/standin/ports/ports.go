// Package ports hands out ports to the processes and stand-ins of a test.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports from first on, below those that the system gives to outgoing connections.
const (
	first = 20_000
	count = 12_000
)

var (
	mu   sync.Mutex
	next = rand.IntN(count)
)

// Take returns the first of n consecutive ports of a host that are free. It returns no port
// twice within a process until all have been handed out.
func Take(host string, n int) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range count {
		if next+n > count {
			next = 0
		}
		port := first + next
		taken := firstTaken(host, port, n)
		if taken < 0 {
			next += n
			return port, nil
		}
		next += taken + 1
	}
	return 0, fmt.Errorf("no %d consecutive free ports at %s", n, host)
}

// firstTaken returns the position of the first of n ports that is in use, or -1.
func firstTaken(host string, port, n int) int {
	for i := range n {
		if !isFree(host, port+i) {
			return i
		}
	}
	return -1
}

// isFree reports whether both TCP and UDP can listen at a port.
func isFree(host string, port int) bool {
	address := net.JoinHostPort(host, strconv.Itoa(port))
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
