package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"text/template"
	"time"
)

const (
	frontPorts = 19 // listen addresses, and the range of ports between instances
	firstPort  = 21000
	lastPort   = 60000
	// startTime bounds the start of an instance.
	startTime = 10 * time.Second
)

var zones = []string{"tg-mures-a", "tg-mures-a", "tg-mures-b", "cluj-c"}

// front is one entry instance.
type front struct {
	Name, IP, Zone, Store string
	basePort              int
	dir                   string
	process               *exec.Cmd
	log                   *os.File
}

// Port returns one of the instance's ports.
func (f *front) Port(i int) int { return f.basePort + i }

func (f *front) address() string { return net.JoinHostPort(f.IP, strconv.Itoa(f.Port(0))) }

// freePorts returns the first of frontPorts ports that are free at all given addresses.
func freePorts(ips []string) (int, error) {
	for base := firstPort + os.Getpid()%500*30; base < lastPort; base += 2 * frontPorts {
		if portsAreFree(ips, base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsAreFree(ips []string, base int) bool {
	for _, ip := range ips {
		for i := range frontPorts {
			listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(base+i)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// newFronts returns the instances of a small deployment, which are not started yet.
func newFronts(dir, storeAddress string) ([]*front, error) {
	var fronts []*front
	var ips []string
	for i, zone := range zones {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", i+1))
		fronts = append(fronts, &front{Name: fmt.Sprintf("front-%s-%d", zone, i+1), IP: ips[i], Zone: zone, Store: storeAddress, dir: dir})
	}
	base, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	for _, f := range fronts {
		f.basePort = base
	}
	return fronts, nil
}

// start starts the instance as the deploy file says, but for its metrics, which have the
// address of the machine: all machines share one here.
func (f *front) start() error {
	settings, err := renderFile("wire/settings.tmpl", f)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, f.Name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	if f.log == nil {
		if f.log, err = os.Create(filepath.Join(f.dir, f.Name+".log")); err != nil {
			return err
		}
	}
	f.process = exec.Command("target/medlardeck", "fleet", "-metrics-address", f.IP+":9464")
	f.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settingsVariable"] + "=" + path}
	f.process.Stdout, f.process.Stderr = f.log, f.log
	return f.process.Start()
}

// awaitReady waits until the instance says that it is ready.
func (f *front) awaitReady() error {
	url := "http://" + net.JoinHostPort(f.IP, strconv.Itoa(f.Port(1))) + "/ready"
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.Name)
}

// kill ends the instance's process with SIGKILL.
func (f *front) kill() {
	if f.process == nil || f.process.Process == nil {
		return
	}
	_ = f.process.Process.Signal(syscall.SIGKILL) // it may have ended
	_ = f.process.Wait()
	f.process = nil
}

func renderFile(path string, data any) ([]byte, error) {
	t, err := template.ParseFS(wireFiles, path)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if err := t.Execute(&b, data); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
