package instance

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/httpapi"
	"github.com/medlardeck/medlardeck/internal/peer"
	"github.com/medlardeck/medlardeck/internal/result"
)

// runRecorder is a target that records which calls it ran.
type runRecorder struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (r *runRecorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.ran[req.URL.Path] = true
	r.mu.Unlock()
	time.Sleep(time.Millisecond)
	_, _ = io.WriteString(w, "done")
}

func (r *runRecorder) hasRun(path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[path]
}

// callUntilClosed makes calls on one connection until it ends. It returns the path of the
// last call if that got no answer.
func callUntilClosed(conn net.Conn, caller int, first time.Duration) (unanswered string) {
	defer conn.Close()
	time.Sleep(first)
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		path := fmt.Sprintf("/bookings/%d-%d", caller, n)
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}", path); err != nil {
			return path
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return path
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return path
		}
		if resp.Close || resp.Header.Get(httpapi.HeaderCode) != "" {
			return ""
		}
	}
}

// Failure: a call that is read while a stop finds that nothing is in flight, or between
// that and the close of connections, runs at a target and its connection is cut. Calls come
// on connections in use and as first ones on connections opened long before.
func TestCallThatCrossesTheEndOfAStopIsAnsweredOrNotRun(t *testing.T) {
	const callers, rounds = 60, 6
	for round := range rounds {
		target := &runRecorder{ran: map[string]bool{}}
		ln := listen(t)
		srv := &http.Server{Handler: target}
		go func() { _ = srv.Serve(ln) }()
		intent := testIntent()
		intent.Routes = []configuration.Route{{Name: "bookings", Prefix: "/bookings", Pool: "booking"}}
		intent.Pools = append(intent.Pools, configuration.Pool{
			Name: "booking", Kind: configuration.PoolService, Targets: []configuration.Target{{Name: "booking-0", Address: ln.Addr().String()}},
		})
		inst, address := startInstanceWithIntent(t, intent, Options{})
		stopAt := 20 * time.Millisecond
		var wg sync.WaitGroup
		for caller := range callers {
			conn, err := net.Dial("tcp", address)
			must.NoError(t, err)
			first := time.Duration(0)
			if caller%2 == 0 { // near the end of the stop
				first = stopAt + time.Duration(caller-callers/2)*50*time.Microsecond
			}
			wg.Go(func() {
				if path := callUntilClosed(conn, caller, first); path != "" && target.hasRun(path) {
					t.Errorf("round %d: call %s has run and got no answer", round, path)
				}
			})
		}
		time.Sleep(stopAt)
		must.NoError(t, inst.Stop(t.Context()))
		wg.Wait()
		must.NoError(t, srv.Close())
	}
}

// newCallerTLS returns the TLS configuration of a server for callers.
func newCallerTLS(t *testing.T) *tls.Config {
	t.Helper()
	certFile, keyFile := writeCertificate(t, t.TempDir(), 1)
	identity, err := peer.LoadIdentity(certFile, keyFile, "")
	must.NoError(t, err)
	return identity.Public()
}

// Failure: a request whose head is being read when a stop closes idle connections is
// dropped without an answer, as a first request and as a later one.
func TestRequestThatIsBeingReadAtTheEndOfAStopIsAnswered(t *testing.T) {
	for _, overTLS := range []bool{false, true} {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprintf("tls=%t,first=%t", overTLS, first), func(t *testing.T) {
				var opts Options
				if overTLS {
					opts.CallerTLS = newCallerTLS(t)
				}
				inst, address := startInstanceWithIntent(t, testIntent(), opts)
				conn, err := net.Dial("tcp", address)
				must.NoError(t, err)
				defer conn.Close()
				if overTLS {
					conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
				}
				in := bufio.NewReader(conn)
				if !first {
					_, err = io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n\r\n")
					must.NoError(t, err)
					must.Eq(t, http.StatusOK, readResponse(t, in).StatusCode)
				}
				const body = `{"model":"draft","max_tokens":5,"prompt":"late"}`
				_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\n")
				must.NoError(t, err)
				time.Sleep(20 * time.Millisecond) // the server has read this part
				stopped := make(chan error, 1)
				go func() { stopped <- inst.Stop(t.Context()) }()
				time.Sleep(50 * time.Millisecond) // idle connections are closed
				_, err = fmt.Fprintf(conn, "Authorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				must.NoError(t, err)
				must.Eq(t, fmt.Sprint(int(result.Stopping)), readResponse(t, in).Header.Get(httpapi.HeaderCode))
				must.NoError(t, <-stopped)
			})
		}
	}
}

// readResponse reads a whole response.
func readResponse(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, errors.Join(err, resp.Body.Close()))
	return resp
}
