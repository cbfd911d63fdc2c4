package slopes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// Sizes and times of measurements over real connections.
const (
	streamStep   = 66 * time.Millisecond // between tokens of one stream
	streamWarmUp = time.Second
	streamWindow = 4 * time.Second
	streamTokens = 4096 // more than a window passes
	pollRounds   = 50
)

var (
	streamSizes  = []int{50, 200, 600}
	runningSizes = []int{0, 16, 48}
	engineSizes  = []int{3, 15, 45}
)

// Wire returns the measurements over loopback connections.
func Wire() []Measurement {
	return []Measurement{
		{Name: "stream-cpu", Unit: "core share", Per: "open stream", Sizes: streamSizes, Run: streamCPU},
		{Name: "idle-cpu", Unit: "core share", Per: "engine", Sizes: engineSizes, Run: idleCPU},
		{Name: "poll-bytes", Unit: "bytes", Per: "request running at the engine", Sizes: runningSizes, Run: pollBytes},
	}
}

// processorTime returns what the process has used so far.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// streamCPU is the share of a core that an entry instance adds to so many open
// streams: the process's use with the streams through the instance less that
// with the same streams direct to the engines.
func streamCPU(streams int) (float64, error) {
	d, err := dev.Start(dev.Options{Log: logr.Discard(), Engine: engine.Options{
		StepTime: streamStep, PrefillTokensPerSecond: 1_000_000, MaxRunning: streams + 1, StepTokens: 1 << 16,
	}})
	if err != nil {
		return 0, fmt.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	direct := make([]string, len(d.Engines))
	for i, e := range d.Engines {
		direct[i] = "http://" + e.Addr()
	}
	base, err := openStreams(direct, streams)
	if err != nil {
		return 0, err
	}
	through, err := openStreams(d.Callers[:1], streams)
	return through - base, err
}

// idleCPU is the share of a core that one entry instance uses without requests:
// that of a whole deployment with so many engines, stand-ins included, divided
// by its instances.
func idleCPU(engines int) (float64, error) {
	d, err := dev.Start(dev.Options{Log: logr.Discard(), Engines: engines})
	if err != nil {
		return 0, fmt.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	time.Sleep(streamWarmUp)
	cpu, wall := processorTime(), time.Now()
	time.Sleep(streamWindow)
	return float64(processorTime()-cpu) / float64(time.Since(wall)) / dev.Entries, nil
}

// openStreams keeps streams open at the given addresses in turn and returns the
// share of a core that the whole process uses meanwhile.
func openStreams(urls []string, streams int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	failed := make(chan error, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() { failed <- readStream(ctx, client, urls[i%len(urls)], i) })
	}
	time.Sleep(streamWarmUp)
	cpu, wall := processorTime(), time.Now()
	time.Sleep(streamWindow)
	share := float64(processorTime()-cpu) / float64(time.Since(wall))
	select {
	case err := <-failed:
		return 0, fmt.Errorf("stream ended within the window: %w", err)
	default:
	}
	cancel()
	wg.Wait()
	return share, nil
}

func readStream(ctx context.Context, client *http.Client, url string, i int) error {
	body := fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d"}]}`, streamTokens, i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+dev.DevelopmentKey("museum"))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// pollBytes is what one poll of an engine costs on its connection, both ways.
func pollBytes(running int) (float64, error) {
	e, err := engine.Start("127.0.0.1:0", engine.Options{
		Models: []string{"draft"}, StepTime: streamStep, PrefillTokensPerSecond: 1_000_000, MaxRunning: running + 1,
	})
	if err != nil {
		return 0, fmt.Errorf("start engine: %w", err)
	}
	defer e.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range running {
		go func() { _ = readStream(ctx, http.DefaultClient, "http://"+e.Addr(), i) }()
	}
	var bytes atomic.Int64
	client := engineclient.NewWithDialer(countingDial(&bytes), time.Second)
	defer client.Close()
	for {
		report, _, err := client.FetchReport(ctx, e.Addr())
		if err != nil {
			return 0, err
		}
		if report.Running == running {
			break
		}
		time.Sleep(streamStep)
	}
	before := bytes.Load()
	for range pollRounds {
		if _, _, err := client.FetchReport(ctx, e.Addr()); err != nil {
			return 0, err
		}
	}
	return float64(bytes.Load()-before) / pollRounds, nil
}

// countedConn counts the bytes of a connection, both ways.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func countingDial(bytes *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, bytes: bytes}, nil
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
