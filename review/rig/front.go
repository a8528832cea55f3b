package main

import (
	"fmt"
	"math/rand/v2"
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
)

// front is a front machine with its one process, which the platform starts again when it ends.
type front struct {
	name, zone, region           string
	listen, ready, admin, beacon string
	settings, log                string
	dir                          string
	memoryMB                     float64
	core                         int
	rec                          *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	closed  bool
	// offUntil is the time until which the machine has no power.
	offUntil time.Time
	// ends are the ends of the process that the platform did not order: memory over the limit, or by itself.
	ends   []string
	peakMB float64
	done   chan struct{}
	// inRotation and misses are the state of the readiness checks.
	inRotation bool
	misses     int
}

// restartDelay is the delay after which a process that ended is started again.
const restartDelay = 300 * time.Millisecond

// Ports of the fronts are below those that the system gives to connections, so that a front that starts again finds its
// own ones free.
const portMin, portMax = 12_000, 30_000

var taken = map[string]bool{}

// freeAddr returns a loopback address with a free TCP and UDP port, each one once.
func freeAddr() string {
	for {
		addr := "127.0.0.1:" + strconv.Itoa(portMin+rand.IntN(portMax-portMin))
		if taken[addr] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		_ = ln.Close()
		if err == nil {
			_ = u.Close()
			taken[addr] = true
			return addr
		}
	}
}

func newFront(dir, name, zone, region, store string, memoryMB float64, rec *record) *front {
	f := &front{name: name, zone: zone, region: region, listen: freeAddr(), ready: freeAddr(), admin: freeAddr(), beacon: freeAddr(), dir: dir, memoryMB: memoryMB, rec: rec}
	f.settings, f.log = filepath.Join(dir, name+".json"), filepath.Join(dir, name+".log")
	f.writeSettings(store)
	return f
}

// writeSettings fills deploy/settings.tmpl with the bounds of the site brunner-wind.
func (f *front) writeSettings(store string) {
	s := fmt.Sprintf(`{
  "name": %q, "region": %q, "centre": %q,
  "centres": [{ "name": "west-a", "region": "west" }, { "name": "east-a", "region": "east" }, { "name": "west-b", "region": "west" }],
  "listen": %q, "ready": %q, "admin": %q, "beacon": %q, "store": %q,
  "memory": %g, "grace": 8, "drain": 2500, "stable": 3000, "ratio": 0.2, "spare": 52, "span": 10, "expose": 0.1, "leeway": 50,
}
`, f.name, f.region, f.zone, f.listen, f.ready, f.admin, f.beacon, store, f.memoryMB)
	if err := os.WriteFile(f.settings, []byte(s), 0o600); err != nil {
		panic(err)
	}
}

// start starts the process with the command of deploy/system.toml and keeps it running.
func (f *front) start() error {
	out, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/platform", "serve", "--settings", f.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYVANE_BOOT=" + f.settings}
	if err = startOnOneCore(cmd, f.core); err != nil {
		return err
	}
	f.mu.Lock()
	f.cmd, f.started, f.done = cmd, time.Now(), make(chan struct{})
	done := f.done
	f.mu.Unlock()
	f.rec.add("platform starts %s", f.name)
	go f.watchMemory(cmd, done)
	go func() {
		err := cmd.Wait()
		close(done)
		f.rec.add("process of %s ended: %v", f.name, err)
		f.mu.Lock()
		off := time.Until(f.offUntil)
		f.mu.Unlock()
		time.Sleep(max(restartDelay, off))
		f.mu.Lock()
		closed := f.closed
		f.mu.Unlock()
		if !closed {
			if err := f.start(); err != nil {
				f.rec.add("start of %s fails: %v", f.name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills a process that exceeds the memory of its machine, as DEPLOY.md says.
func (f *front) watchMemory(cmd *exec.Cmd, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := residentMB(cmd.Process.Pid)
		f.mu.Lock()
		f.peakMB = max(f.peakMB, mb)
		f.mu.Unlock()
		if mb > f.memoryMB {
			f.rec.add("platform kills %s: %.1f MB resident, memory-mb is %g", f.name, mb, f.memoryMB)
			f.mu.Lock()
			f.ends = append(f.ends, fmt.Sprintf("%.1f MB", mb))
			f.mu.Unlock()
			_ = cmd.Process.Kill()
			return
		}
	}
}

// residentMB returns the resident memory of a process without pages of files, in MB of 2^20 bytes.
func residentMB(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal to the process.
func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.add("signal %v to %s", s, f.name)
	if f.cmd != nil {
		_ = f.cmd.Process.Signal(s)
	}
}

// stop orders a stop: SIGTERM, and SIGKILL after grace. The process starts again.
func (f *front) stop(grace time.Duration) {
	f.signal(syscall.SIGTERM)
	f.mu.Lock()
	cmd, done := f.cmd, f.done
	f.mu.Unlock()
	select {
	case <-done:
	case <-time.After(grace):
		f.rec.add("SIGKILL to %s after grace-s", f.name)
		_ = cmd.Process.Kill()
		<-done
	}
}

// powerOff kills the process, which starts again after d.
func (f *front) powerOff(d time.Duration) {
	f.mu.Lock()
	f.offUntil = time.Now().Add(d)
	f.mu.Unlock()
	f.signal(syscall.SIGKILL)
}

// close ends the process for good.
func (f *front) close() {
	f.mu.Lock()
	f.closed = true
	cmd, done := f.cmd, f.done
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

// ingress is the platform's choice of a front for each new connection.
type ingress struct {
	fronts []*front
}

var readinessClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// run checks the readiness of all fronts once a second.
func (g *ingress) run(stop <-chan struct{}) {
	for {
		for _, f := range g.fronts {
			go func() {
				res, err := readinessClient.Get("http://" + f.ready + "/hickoryvane/readiness")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.misses++; ok {
					f.misses = 0
				}
				if in := ok || f.inRotation && f.misses < 2; in != f.inRotation {
					f.inRotation = in
					f.rec.add("front %s in rotation: %v", f.name, in)
				}
			}()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the front for a client of a zone. A zone has one front here: fewer than half of a zone's fronts in
// rotation means none, and then the nearest zone with one in rotation is used; if there is none at all, the own one.
func (g *ingress) pick(zone string) *front {
	var own *front
	for _, f := range g.fronts {
		if f.zone == zone {
			own = f
		}
	}
	for _, region := range []string{own.region, ""} {
		for _, f := range append([]*front{own}, g.fronts...) {
			f.mu.Lock()
			in := f.inRotation
			f.mu.Unlock()
			if in && (region == "" || f.region == region) {
				return f
			}
		}
	}
	return own
}

// ready reports whether all fronts are in rotation.
func (g *ingress) ready() bool {
	for _, f := range g.fronts {
		f.mu.Lock()
		in := f.inRotation
		f.mu.Unlock()
		if !in {
			return false
		}
	}
	return true
}
