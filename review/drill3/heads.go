package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlardeck/medlardeck/platform/standin"
)

// The crowd of the case. Its bodies come at a third of the machine's link, so that no packet waits
// there.
const (
	crowdClients  = 925
	busyClients   = 16 // send whole requests, one after the other
	crowdBody     = 108 << 10
	bodyPiece     = 8 << 10
	piecePause    = 150 * time.Millisecond
	crowdStagger  = 500 * time.Microsecond
	crowdTime     = 9 * time.Second // of one round, at most
	samplePause   = 5 * time.Millisecond
	restartPause  = 500 * time.Millisecond
	crowdRounds   = 3
	crowdMachines = 2
	ordinaryPause = 50 * time.Millisecond
)

// shortHeaders returns distinct header fields with short names and without a value.
func shortHeaders(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	add := func(name string) bool {
		if b.Len()+len(name)+3 > bytes {
			return false
		}
		b.WriteString(name + ":\r\n")
		return true
	}
	for _, x := range letters {
		for _, y := range letters {
			if name := string(x) + string(y); name != "te" && !add(name) {
				return b.String()
			}
		}
	}
	for _, x := range letters {
		for _, y := range letters {
			for _, z := range letters {
				if !add(string(x) + string(y) + string(z)) {
					return b.String()
				}
			}
		}
	}
	return b.String()
}

// longHeaders returns as many bytes of header fields of a thousand bytes each.
func longHeaders(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len()+1000 <= bytes; n++ {
		_, _ = fmt.Fprintf(&b, "x-fill-%02d: %s\r\n", n, strings.Repeat("f", 1000-13))
	}
	return b.String()
}

// crowdHead returns the head of a request whose length is just below max-header-bytes.
func crowdHead(method, id string, lines ...string) string {
	fill := shortHeaders
	if os.Getenv("LINES") == "long" {
		fill = longHeaders
	}
	fixed := fmt.Sprintf("%s /look/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: 10000\r\n%s",
		method, hostName, apiKey, names["headerRequestId"], id, names["headerDeadlineMs"], strings.Join(lines, ""))
	return fixed + fill(maxHeaderBytes-len(fixed)-100) + "\r\n"
}

// runHeads has clients send requests with many short header fields, within max-header-bytes,
// and bodies that stop short of their end, to two of four machines.
func runHeads(d *drill) (bool, error) {
	if err := d.putConfig(route("look", "idempotent")); err != nil {
		return false, err
	}
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := d.addRunner(fmt.Sprintf("i-%d", n), zone, func(run *standin.Run) { run.Respond(200, "ok "+run.ID()) }); err != nil {
			return false, err
		}
	}
	if err := d.addInstances("zone-a", "zone-a", "zone-b", "zone-c"); err != nil {
		return false, err
	}
	sample := crowdHead("POST", "crowd-0", "Content-Length: 1\r\n")
	d.note("each of %d clients a machine sends a head of %d bytes in %d fields (max-header-bytes %d)", crowdClients, len(sample), strings.Count(sample, "\n")-2, maxHeaderBytes)
	var machines sync.WaitGroup
	var atFault atomic.Int64
	for _, i := range d.instances[:crowdMachines] {
		machines.Go(func() {
			if d.endsUnderCrowd(i) == crowdRounds {
				atFault.Add(1)
			}
		})
	}
	machines.Wait()
	d.note("machines whose process ended %d times: %d of %d", crowdRounds, atFault.Load(), len(d.instances))
	return atFault.Load() >= 2, nil // a tenth of the machines, two at least
}

// endsUnderCrowd plays the crowd some times and returns how often the process ended.
func (d *drill) endsUnderCrowd(i *instance) (ends int) {
	for round := range crowdRounds {
		over := make(chan struct{})
		var lost atomic.Int64
		var ordinary sync.WaitGroup
		ordinary.Go(func() { d.sendOrdinary(i, over, &lost) })
		if d.trouble {
			go d.playCrowd(i, round, over)
		}
		peak := d.watchMemory(i, crowdTime)
		ended := i.hasExited()
		close(over)
		ordinary.Wait()
		d.note("%s, round %d: resident set at most %d kB of %d, process ended: %v, ordinary requests without an answer: %d", i.name, round+1, peak, memoryMB<<10, ended, lost.Load())
		if !ended {
			time.Sleep(time.Second)
			continue
		}
		ends++
		time.Sleep(restartPause)
		if err := i.start(); err != nil {
			d.note("%v", err)
			return ends
		}
		if err := i.awaitReady(); err != nil {
			d.note("%v", err)
			return ends
		}
	}
	return ends
}

// watchMemory kills the process as the platform does when it exceeds memory-mb. It returns the
// largest resident set when the process has ended or the time has passed.
func (d *drill) watchMemory(i *instance, period time.Duration) (peak int) {
	for end := time.Now().Add(period); time.Now().Before(end) && !i.hasExited(); time.Sleep(samplePause) {
		kb := i.statusKB("VmRSS")
		peak = max(peak, kb)
		if kb > memoryMB<<10 {
			d.note("%s: the resident set is %d kB, memory-mb is %d: the platform kills the process", i.name, kb, memoryMB)
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
			<-i.exited
		}
	}
	return peak
}

// sendOrdinary sends ordinary requests and counts those without an answer.
func (d *drill) sendOrdinary(i *instance, over chan struct{}, lost *atomic.Int64) {
	for {
		select {
		case <-over:
			return
		case <-time.After(ordinaryPause):
		}
		if a := d.send(i, "GET", "/look/x", d.newID("ordinary"), ""); a.err != nil {
			lost.Add(1)
		}
	}
}

// playCrowd plays the crowd until it is over.
func (d *drill) playCrowd(i *instance, round int, over chan struct{}) {
	for n := range crowdClients {
		go d.playStopper(i, fmt.Sprintf("crowd-%s-%d-%d", i.name, round, n), over)
		time.Sleep(crowdStagger)
	}
	time.Sleep(crowdBody / bodyPiece * piecePause)
	for n := range busyClients {
		go d.playBusy(i, fmt.Sprintf("busy-%s-%d-%d", i.name, round, n), over)
	}
}

// playStopper sends a request whose body stops short of its end, and keeps the connection open.
func (d *drill) playStopper(i *instance, id string, over chan struct{}) {
	c, err := net.DialTimeout("tcp4", i.callers, crowdTime)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(crowdTime))
	if _, err := io.WriteString(c, crowdHead("POST", id, fmt.Sprintf("Content-Length: %d\r\n", crowdBody))); err != nil {
		return
	}
	piece := strings.Repeat("b", bodyPiece)
	for sent := 0; sent+bodyPiece < crowdBody; sent += bodyPiece {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		time.Sleep(piecePause)
	}
	<-over
}

// playBusy sends whole requests, one after the other on one connection.
func (d *drill) playBusy(i *instance, id string, over chan struct{}) {
	c, err := net.DialTimeout("tcp4", i.callers, crowdTime)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(crowdTime))
	br := bufio.NewReader(c)
	for k := 0; ; k++ {
		select {
		case <-over:
			return
		default:
		}
		if _, err := io.WriteString(c, crowdHead("GET", fmt.Sprintf("%s-%d", id, k))); err != nil {
			return
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if _ = resp.Body.Close(); err != nil {
			return
		}
	}
}
