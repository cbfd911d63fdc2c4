package ports

import (
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// A port that was drawn, closed and drawn again was in use when its test listened there.
func TestNoPortIsHandedOutTwice(t *testing.T) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	known := make(map[int]bool)
	for range 8 {
		wg.Go(func() {
			for range 100 {
				port, err := Take("127.0.0.1", 3)
				must.NoError(t, err)
				mu.Lock()
				for i := range 3 {
					must.False(t, known[port+i])
					known[port+i] = true
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func TestPortsInUseAreLeftOut(t *testing.T) {
	port, err := Take("127.0.0.1", 1)
	must.NoError(t, err)
	listener, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+2)))
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	run, err := Take("127.0.0.1", 3)
	must.NoError(t, err)
	must.True(t, run+2 < port+2 || run > port+2)
}
