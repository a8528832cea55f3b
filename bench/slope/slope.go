// Package slope measures the cost of the decision machines at several sizes and extends it by a line to
// the size in two years.
package slope

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Limits of the control overhead per daemon (design, section 1.4).
const (
	// CPULimit is in milliseconds of one core per second: 3.6%.
	CPUMillisPerSecondLimit = 36.0
	// MemoryLimit is in bytes.
	MemoryBytesLimit = 128e6
	// BytesLimit is in bytes per second.
	BytesPerSecondLimit = 29e3
)

// Point is the cost of one machine in one daemon at one size.
type Point struct {
	Size int
	// CPU is in milliseconds of one core per second, Bytes in bytes sent per second, Memory in bytes.
	CPUMillisPerSecond, BytesPerSecond, MemoryBytes float64
}

// Probe measures one machine.
type Probe struct {
	Name string
	// Roles are the programs that run the machine.
	Roles []string
	// Unit names what is counted as size, Rate the load that was assumed.
	SizeUnit, AssumedLoad string
	Sizes                 []int
	// Target is the size in two years.
	ProjectedSize int
	Measure       func(size int) Point
}

// Row is the result of a probe.
type Row struct {
	Probe  Probe
	Points []Point
	// At is the point on the fitted lines at the size in two years.
	Projected Point
}

// Run measures all probes, one after the other, so that they do not disturb each other.
func Run(probes []Probe) (rows []Row) {
	for _, p := range probes {
		r := Row{Probe: p}
		for _, n := range p.Sizes {
			r.Points = append(r.Points, p.Measure(n))
		}
		r.Projected = project(r.Points, p.ProjectedSize)
		rows = append(rows, r)
	}
	return rows
}

// extend fits a line to each cost and returns its value at size n; a cost is never below zero.
func project(points []Point, n int) Point {
	at := func(cost func(Point) float64) float64 {
		a, b := FitLine(points, cost)
		return max(0, a+b*float64(n))
	}
	return Point{
		Size:               n,
		CPUMillisPerSecond: at(func(p Point) float64 { return p.CPUMillisPerSecond }),
		BytesPerSecond:     at(func(p Point) float64 { return p.BytesPerSecond }),
		MemoryBytes:        at(func(p Point) float64 { return p.MemoryBytes }),
	}
}

// Line returns the intercept and the slope of the least-squares line of a cost over the size.
func FitLine(points []Point, cost func(Point) float64) (a, b float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		x, y := float64(p.Size), cost(p)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d != 0 {
		b = (n*sxy - sx*sy) / d
	}
	return (sy - b*sx) / max(1, n), b
}

// Print writes the rows and their sums by role in Markdown and reports whether the sums are within the limits.
func WriteTable(w io.Writer, rows []Row) (ok bool, err error) {
	var b strings.Builder
	b.WriteString("| machine | runs in | size | load | measured sizes: ms/s of a core; B/s; KB | at size | " +
		"% of a core | KB/s | MB |\n|---|---|---|---|---|--:|--:|--:|--:|\n")
	for _, r := range rows {
		var parts []string
		for _, p := range r.Points {
			parts = append(parts, fmt.Sprintf("%d: %.3f; %.0f; %.0f", p.Size, p.CPUMillisPerSecond, p.BytesPerSecond, p.MemoryBytes/1e3))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %d | %.3f | %.2f | %.2f |\n", r.Probe.Name,
			strings.Join(r.Probe.Roles, ", "), r.Probe.SizeUnit, r.Probe.AssumedLoad, strings.Join(parts, "<br>"), r.Projected.Size,
			r.Projected.CPUMillisPerSecond/10, r.Projected.BytesPerSecond/1e3, r.Projected.MemoryBytes/1e6)
	}
	ok = true
	for _, role := range []string{"router", "agent"} {
		s := sumForRole(rows, role)
		fmt.Fprintf(&b, "| sum | %s | | | | | %.3f | %.2f | %.2f |\n", role, s.CPUMillisPerSecond/10, s.BytesPerSecond/1e3, s.MemoryBytes/1e6)
		ok = ok && s.CPUMillisPerSecond <= CPUMillisPerSecondLimit && s.BytesPerSecond <= BytesPerSecondLimit && s.MemoryBytes <= MemoryBytesLimit
	}
	fmt.Fprintf(&b, "| limit per daemon | | | | | | %.3f | %.2f | %.2f |\n", CPUMillisPerSecondLimit/10, BytesPerSecondLimit/1e3, MemoryBytesLimit/1e6)
	_, err = io.WriteString(w, b.String())
	return ok, err
}

// sum adds up the costs of the machines that a program runs.
func sumForRole(rows []Row, role string) (s Point) {
	for _, r := range rows {
		if slices.Contains(r.Probe.Roles, role) {
			s.CPUMillisPerSecond, s.BytesPerSecond, s.MemoryBytes = s.CPUMillisPerSecond+r.Projected.CPUMillisPerSecond, s.BytesPerSecond+r.Projected.BytesPerSecond, s.MemoryBytes+r.Projected.MemoryBytes
		}
	}
	return s
}

// cpu returns the processor time that f took, of all threads of this process.
func cpuTime(f func()) time.Duration {
	runtime.GC()
	start := processCPUTime()
	f()
	return processCPUTime() - start
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live objects.
func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
