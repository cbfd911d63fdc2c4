package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlardeck/medlardeck/platform/standin"
)

// Bounds of a small deployment, as its settings and its configuration name them.
const (
	memoryMB       = 414
	maxFDs         = 6150
	maxHeaderBytes = 16384
	apiKey         = "n2ctnfzs989anu6wsjnb"
	tenant         = "hule930"
	hostName       = "ficu95.example"
	firstVersion   = 3
	// startTimeout is how long an instance may take until it is ready.
	startTimeout  = 10 * time.Second
	clientTimeout = 12 * time.Second
)

// drill is one play of a case.
type drill struct {
	binary    string
	folder    string // temporary
	trouble   bool
	startedAt time.Time
	store     *standin.Store
	// storeAddress is where the instances find the store.
	storeAddress string

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	runners   []*standin.Runner
	lastID    int
}

func newDrill(binary, recordPath string, trouble bool) (*drill, error) {
	path, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "drill3-")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	store := standin.NewStore()
	return &drill{binary: path, folder: folder, trouble: trouble, startedAt: time.Now(), store: store, storeAddress: store.Address(), record: record}, nil
}

// note writes a line with the time since the start to the record.
func (d *drill) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(d.startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = d.record.WriteString(line) // the verdict does not depend on the record
	_, _ = os.Stdout.WriteString(line)
}

// trace writes a line to the record alone.
func (d *drill) trace(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.startedAt).Seconds()}, args...)...)
}

// close ends all processes of the case.
func (d *drill) close() {
	for _, i := range d.instances {
		i.kill()
	}
	for _, r := range d.runners {
		r.Crash()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
	_ = d.record.Close()
}

// newID returns the id of a client's request.
func (d *drill) newID(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	return fmt.Sprintf("%s-%d", name, d.lastID)
}

// putConfig writes the operator's first configuration with the given routes and one tenant.
func (d *drill) putConfig(routes ...map[string]any) error {
	return d.putConfigWith(firstVersion, []map[string]any{{"name": tenant, names["apiKeys"]: []string{apiKey}, "priority": 1}}, routes...)
}

// putConfigWith writes a version of the operator's configuration.
func (d *drill) putConfigWith(version int, tenants []map[string]any, routes ...map[string]any) error {
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "pool", "health-path": "/health", "max-conns": 424, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  tenants,
	})
	if err != nil {
		return err
	}
	d.store.Put(names["keyConfig"], raw)
	return nil
}

// route returns a route of the configuration.
func route(name, kind string) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": hostName, "prefix": "/" + name + "/", "kind": kind, "timeout-ms": 10000, names["targetLatencyMs"]: 300,
		"priority": 1, "service": "pool", names["maxAttempts"]: 2, "no-auth": false,
	}
}

// addRunner starts a runner and registers it.
func (d *drill) addRunner(id, zone string, script func(*standin.Run)) (*standin.Runner, error) {
	r, err := standin.NewRunner(func(run *standin.Run) {
		d.trace("%s gets %s %s %s", id, run.ID(), run.Method, run.Path)
		script(run)
	})
	if err != nil {
		return nil, err
	}
	d.trace("%s starts at %s", id, r.Address())
	d.mu.Lock()
	d.runners = append(d.runners, r)
	d.mu.Unlock()
	d.store.Put(names["keyRunners"]+id, standin.TargetRegistration("pool", r.Address(), zone, "ready"))
	return r, nil
}

// instance is one entry instance. It may be started several times.
type instance struct {
	drill                 *drill
	name, host            string
	callers, ready, extra string
	settings              string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// freePort returns a free TCP port of a loopback address.
func freePort(host string) (int, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// freeRange returns the first of count consecutive ports that are free for TCP and UDP.
func freeRange(host string, count int) (int, error) {
	for range 50 {
		first, err := freePort(host)
		if err != nil {
			return 0, err
		}
		if first+count < 65536 && rangeIsFree(host, first, count) {
			return first, nil
		}
	}
	return 0, errors.New("no free range of ports")
}

func rangeIsFree(host string, first, count int) bool {
	for port := first; port < first+count; port++ {
		address := net.JoinHostPort(host, strconv.Itoa(port))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// addInstances starts an instance in each of the zones, at loopback addresses of their own.
func (d *drill) addInstances(zones ...string) error {
	first, err := freeRange("127.0.0.2", 16)
	if err != nil {
		return err
	}
	var seeds []string
	for n := range min(3, len(zones)) {
		seeds = append(seeds, net.JoinHostPort(instanceHost(n), "1"))
	}
	for n, zone := range zones {
		if err := d.addInstance(n, zone, first, seeds); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func instanceHost(n int) string { return fmt.Sprintf("127.0.0.%d", n+2) }

func (d *drill) addInstance(n int, zone string, firstPort int, seeds []string) error {
	host := instanceHost(n)
	var addresses [4]string
	for k := range addresses {
		port, err := freePort(host)
		if err != nil {
			return err
		}
		addresses[k] = net.JoinHostPort(host, strconv.Itoa(port))
	}
	raw, err := json.Marshal(map[string]any{
		"node": fmt.Sprintf("front-%d", n), "role": "entry", "class": "front", "serves": []string{"front", "control"},
		"ip": host, "zone": zone, "region": "region",
		"zones":            map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"listen":           map[string]string{"front": addresses[0], "ready": addresses[1], "control": addresses[2]},
		names["portRange"]: []int{firstPort, firstPort + 15}, "seeds": seeds, "bootstrap": true, "heartbeat-ms": 1200,
		"limits":    map[string]any{"cpu-share": 0.608, "cores": 1, "memory-mb": memoryMB, "max-fds": maxFDs, "link-mbps": 1500.0, "disk-mb": 0},
		"discovery": "platform", "entry": "vip",
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"},
		"tolerate":  map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catchup-s": 4, "drain-ms": 2000, "grace-s": 8,
			"lost-slack-ms": 200, "config-ms": 2000, "rollback-slack-ms": 250, "stretch-max-ms": 5000, "strict-revoke": false, "revoke-ms": 5000,
			"retry-ratio": 0.2, "retry-window-s": 10, names["retrySlack"]: 102, "recovery-s": 12, "pass-ms": 120, "retry-after-s": 0,
			"stall_ms": 1500, "hold-max-ms": 20000, "free-ms": 4000, "idle-max-ms": 9000,
		},
		"platform": map[string]any{
			"addr": d.storeAddress, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, fmt.Sprintf("settings-%d.json", n))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	d.instances = append(d.instances, &instance{
		drill: d, name: fmt.Sprintf("front-%d", n), host: host, callers: addresses[0], ready: addresses[1], extra: addresses[3], settings: path,
	})
	return nil
}

// start starts the process with the command of the deploy file, but with a metrics address of
// its own, since all instances share one machine here.
func (i *instance) start() error {
	i.cmd = exec.Command(i.drill.binary, "fleet", "-metrics-address", i.extra)
	i.cmd.Env = append(os.Environ(), "MEDLARDECK_CONFIG="+i.settings, "GOMAXPROCS=1") // a machine shows one core
	log, err := os.OpenFile(filepath.Join(i.drill.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close() // the process has its own descriptor
	exited, cmd := make(chan struct{}), i.cmd
	i.exited = exited
	go func() {
		_ = cmd.Wait() // the case looks at the process itself
		close(exited)
	}()
	i.drill.note("%s started, pid %d", i.name, cmd.Process.Pid)
	return nil
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + i.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	_ = i.cmd.Process.Signal(syscall.SIGKILL) // it may have exited
	<-i.exited
}

// hasExited reports whether the process has ended.
func (i *instance) hasExited() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// statusKB returns a field of the process's status in kB, zero if it has exited.
func (i *instance) statusKB(field string) int {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(i.cmd.Process.Pid), "status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), field+":")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	header http.Header
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer (%v)", a.err)
	}
	return fmt.Sprintf("%d stamp=%q code=%q", a.status, a.stamp, a.header.Get("X-Medlardeck-Code"))
}

// send sends a request on a new connection and reads the answer.
func (d *drill) send(i *instance, method, path, id, body string) answer {
	return d.sendWithKey(i, method, path, id, body, apiKey)
}

// sendWithKey is send with the given key.
func (d *drill) sendWithKey(i *instance, method, path, id, body, key string) answer {
	d.trace("sent to %s: %s %s %s", i.name, id, method, path)
	a := exchange(i, method, path, id, body, key)
	d.trace("answer of %s to %s: %v", i.name, id, a)
	return a
}

func exchange(i *instance, method, path, id, body, key string) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
	req, err := http.NewRequest(method, "http://"+i.callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(names["headerRequestId"], id)
	req.Header.Set(names["headerDeadlineMs"], "10000")
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get(names["headerRunnerStamp"]), body: string(text), header: resp.Header, err: err}
}
