package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// instance is one entry instance, started as a process with the command of the deploy file.
type instance struct {
	name, ip              string
	control, front, ready string // addresses
	settings, logPath     string // files

	cmd    *exec.Cmd
	exited chan struct{} // closed when the present process has ended
}

// fleet is the instances of a run, in one zone, and what they share.
type fleet struct {
	directory string
	store     *store
	instances []*instance
	basePort  int
}

// Offsets of the ports of an instance from the lowest one.
const (
	controlOffset = iota
	frontOffset
	readyOffset
	rangeOffset
	portCount = rangeOffset + 4
)

// newFleet returns a store and instances that have settings and are not started.
func newFleet(count int) (*fleet, error) {
	directory, err := os.MkdirTemp("", "medlardeck-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{directory: directory}
	if f.store, err = newStore(); err != nil {
		return nil, err
	}
	var ips []string
	for n := range count {
		ips = append(ips, fmt.Sprintf("127.0.%d.1", 40+n))
	}
	if f.basePort, err = freePorts(ips, portCount); err != nil {
		return nil, err
	}
	for n, ip := range ips {
		address := func(offset int) string { return net.JoinHostPort(ip, strconv.Itoa(f.basePort+offset)) }
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("front-a-%d", n+1), ip: ip, control: address(controlOffset), front: address(frontOffset), ready: address(readyOffset),
			settings: filepath.Join(directory, fmt.Sprintf("settings-%d.json", n)), logPath: filepath.Join(directory, fmt.Sprintf("log-%d", n)),
		})
	}
	for _, i := range f.instances {
		if err := f.writeSettings(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePorts returns the first of several ports in a row that are free at all the addresses.
func freePorts(ips []string, count int) (int, error) {
	for port := 21000; port < 60000; port += count {
		if portsAreFree(ips, port, count) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

func portsAreFree(ips []string, port, count int) bool {
	for _, ip := range ips {
		for offset := range count {
			address := net.JoinHostPort(ip, strconv.Itoa(port+offset))
			tcp, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			_ = udp.Close()
		}
	}
	return true
}

// writeSettings writes the settings file of an instance. The figures are those of the site.
func (f *fleet) writeSettings(i *instance) error {
	seeds := []string{}
	for _, seed := range f.instances[:min(3, len(f.instances))] {
		seeds = append(seeds, seed.control)
	}
	raw, err := json.Marshal(map[string]any{
		"node": i.name, "role": "entry", "class": "front", "serves": []string{"front", "control"}, "ip": i.ip,
		"zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen":           map[string]string{"front": i.front, "ready": i.ready, "control": i.control},
		names["portRange"]: []int{f.basePort + rangeOffset, f.basePort + portCount - 1}, "seeds": seeds, "bootstrap": true, "loss-counts": false,
		"limits":   map[string]any{"cpu-share": 0.608, "cores": 1, "memory-mb": 414, "max-fds": 6150, "link-mbps": 1500.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"},
		"tolerate":  map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catchup-s": 4, "drain-ms": 2000, "grace-s": 8,
			"lost-slack-ms": 200, "config-ms": 2000, "rollback-slack-ms": 250, "stretch-max-ms": 5000, "strict-revoke": false,
			"revoke-ms": 5000, "retry-ratio": 0.2, "retry-window-s": 10, names["retrySlack"]: 102, "recovery-s": 12, "pass-ms": 120,
			"retry-after-s": 0, "stall_ms": 1500, "hold-max-ms": 20000, "free-ms": 4000, "idle-max-ms": 9000,
		},
		"platform": map[string]any{
			"addr": f.store.address, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, raw, 0o600)
}

// deployedCommand returns the words of the command in the deploy file. The metrics get a free
// port of the instance's own loopback address, since all instances run on one machine.
func deployedCommand(inst *instance) ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = ")
		if !ok {
			continue
		}
		words := strings.Fields(strings.Trim(text, `"`))
		if at := slices.Index(words, "-metrics-address"); at >= 0 && at+1 < len(words) {
			words[at+1] = net.JoinHostPort(inst.ip, "0")
			return words, nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no command with an address of metrics")
}

// start starts the process and waits until it is ready.
func (i *instance) start() error {
	words, err := deployedCommand(i)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(i.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"MEDLARDECK_CONFIG=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.TempDir()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.cmd, i.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // that it has ended is all that counts
		close(exited)
	}()
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		if i.hasExited() {
			return fmt.Errorf("%s has ended at its start", i.name)
		}
		if isReady(i.ready) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// isReady asks an instance whether it is ready.
func isReady(address string) bool {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) } // one that has ended needs none

// hasExited reports whether the process has ended.
func (i *instance) hasExited() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// close ends all processes and removes the directory.
func (f *fleet) close() {
	for _, i := range f.instances {
		if i.cmd != nil {
			i.signal(syscall.SIGKILL)
			<-i.exited
		}
	}
	_ = os.RemoveAll(f.directory) // a temporary directory
}
