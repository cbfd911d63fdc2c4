package drainconn

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/membudget"
)

// startFullServer starts a limited server with one place per connection given.
func startFullServer(t *testing.T, places int) *limitedServer {
	t.Helper()
	return startServerWith(t, Limits{HeadBytes: 4096, HeadTime: 5 * time.Second, IdleTime: 10 * time.Second}, Options{MaxConns: places})
}

// A crowd of idle connections kept all other callers out.
func TestIdleConnectionsYieldToNewOnes(t *testing.T) {
	s := startFullServer(t, 2)
	_, oldestReader := s.dialIdle(t)
	_, unusedReader := s.dial(t)
	time.Sleep(2 * yieldWaitTime)
	for _, old := range []*bufio.Reader{oldestReader, unusedReader} {
		conn, br := s.dial(t)
		write(t, conn, "GET /new HTTP/1.1\r\nHost: h\r\n\r\n")
		must.Eq(t, 200, readStatus(t, br))
		_, err := old.ReadByte()
		must.ErrorIs(t, err, io.EOF)
	}
}

// A request in progress must not be cut for a new connection, which is told so instead.
func TestRequestsInProgressKeepTheirPlaces(t *testing.T) {
	s := startFullServer(t, 1)
	busy, busyReader := s.dial(t)
	write(t, busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(yieldWaitTime)
	must.Eq(t, Counts{InUse: 1}, s.Counts())
	_, br := s.dial(t)
	must.Eq(t, http.StatusServiceUnavailable, readStatus(t, br))
	close(s.release)
	must.Eq(t, 200, readStatus(t, busyReader))
	rejections, _, _ := s.seen()
	must.Eq(t, []Rejection{ConnectionsFull}, rejections)
}

// A crowd of bodies and answers without progress kept all other callers out.
func TestRequestThatIsEndedMakesRoom(t *testing.T) {
	s := startFullServer(t, 1)
	busy, busyReader := s.dial(t)
	write(t, busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(yieldWaitTime)
	s.mu.Lock()
	s.onFull = func() bool {
		close(s.release)
		return true
	}
	s.mu.Unlock()
	conn, br := s.dial(t)
	write(t, conn, "GET /new HTTP/1.1\r\nHost: h\r\n\r\n")
	must.Eq(t, 200, readStatus(t, br))
	must.Eq(t, 200, readStatus(t, busyReader))
}

// A head without end held its place until its time had passed.
func TestHeadWithoutEndYieldsToANewConnection(t *testing.T) {
	s := startFullServer(t, 1)
	slow, slowReader := s.dial(t)
	for range 12 { // it goes on all the time
		write(t, slow, "G")
		time.Sleep(yieldHeadTime / 10)
	}
	conn, br := s.dial(t)
	write(t, conn, "GET /new HTTP/1.1\r\nHost: h\r\n\r\n")
	must.Eq(t, 200, readStatus(t, br))
	must.Eq(t, http.StatusServiceUnavailable, readStatus(t, slowReader))
}

// Long heads had no common bound, where the configuration allows them.
func TestLongHeadsShareTheMemoryBudget(t *testing.T) {
	budget := membudget.New(512 << 10)
	s := startServerWith(t, Limits{HeadBytes: 1 << 20, HeadTime: 5 * time.Second, IdleTime: 10 * time.Second}, Options{Budget: budget})
	conn, br := s.dial(t)
	write(t, conn, headOf(100_000))
	must.Eq(t, 200, readStatus(t, br))
	s.awaitIdle(t)
	must.Zero(t, budget.Held())
	_, _ = conn.Write([]byte(headOf(400_000))) // the server may close the connection before its end
	must.Eq(t, http.StatusServiceUnavailable, readStatus(t, br))
	for end := time.Now().Add(time.Second); budget.Held() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
}

// A head of many short fields holds far more than its bytes, and processes ended by it.
func TestFieldsOfHeadsShareTheMemoryBudget(t *testing.T) {
	budget := membudget.New(200 << 10)
	s := startServerWith(t, Limits{HeadBytes: 16 << 10, HeadTime: 5 * time.Second, IdleTime: 10 * time.Second}, Options{Budget: budget})
	head := func(fields, valueBytes int) string {
		var b strings.Builder
		b.WriteString("GET /x HTTP/1.1\r\nHost: h\r\n")
		for i := range fields {
			fmt.Fprintf(&b, "%x:%s\r\n", i+0x1000, strings.Repeat("v", valueBytes))
		}
		return b.String() + "\r\n"
	}
	conn, br := s.dial(t)
	write(t, conn, head(20, 700))
	must.Eq(t, 200, readStatus(t, br))
	_, _ = conn.Write([]byte(head(2200, 0))) // the server may close the connection before its end
	must.Eq(t, http.StatusServiceUnavailable, readStatus(t, br))
}
