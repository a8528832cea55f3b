// Package slope measures the cost of the state machines at several sizes and projects it along a fitted line
// to the size in two years. The command bench slopes calls it.
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
	// CPUMillisPerSecondLimit is in milliseconds of one core per second: 3.6%.
	CPUMillisPerSecondLimit = 36.0
	MemoryBytesLimit        = 128e6
	// BytesPerSecondLimit bounds the bytes sent.
	BytesPerSecondLimit = 29e3
)

// Point is the cost of one state machine in one daemon at one size.
type Point struct {
	Size int
	// CPUMillisPerSecond is processor time of one core, BytesPerSecond counts sent bytes, MemoryBytes is live heap.
	CPUMillisPerSecond, BytesPerSecond, MemoryBytes float64
}

// Probe measures one state machine.
type Probe struct {
	Name string
	// Roles are the programs that run the state machine.
	Roles []string
	// SizeUnit names what is counted as size; AssumedLoad is the load during the measurement.
	SizeUnit, AssumedLoad string
	Sizes                 []int
	// ProjectedSize is the size in two years.
	ProjectedSize int
	Measure       func(size int) Point
}

// Row is the result of a probe.
type Row struct {
	Probe  Probe
	Points []Point
	// Projected is the cost on the fitted lines at the size in two years.
	Projected Point
}

// Run executes the probes one after the other, as the processor time and the heap of the whole process are measured.
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

// project fits a line to each cost and returns its value at size n, or zero if that is negative.
func project(points []Point, n int) Point {
	valueAtN := func(cost func(Point) float64) float64 {
		a, b := FitLine(points, cost)
		return max(0, a+b*float64(n))
	}
	return Point{
		Size:               n,
		CPUMillisPerSecond: valueAtN(func(p Point) float64 { return p.CPUMillisPerSecond }),
		BytesPerSecond:     valueAtN(func(p Point) float64 { return p.BytesPerSecond }),
		MemoryBytes:        valueAtN(func(p Point) float64 { return p.MemoryBytes }),
	}
}

// FitLine returns the intercept and the slope of the least-squares line of a cost over the size.
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

// WriteTable writes the rows and their sums by role in Markdown and reports whether the sums are within the limits.
func WriteTable(w io.Writer, rows []Row) (ok bool, err error) {
	var b strings.Builder
	b.WriteString("| machine | runs in | size | load | measured sizes: ms/s of a core; B/s; KB | at size | " +
		"% of a core | KB/s | MB |\n|---|---|---|---|---|--:|--:|--:|--:|\n")
	for _, r := range rows {
		var costs []string
		for _, p := range r.Points {
			costs = append(costs, fmt.Sprintf("%d: %.3f; %.0f; %.0f", p.Size, p.CPUMillisPerSecond,
				p.BytesPerSecond, p.MemoryBytes/1e3))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %d | %.3f | %.2f | %.2f |\n", r.Probe.Name,
			strings.Join(r.Probe.Roles, ", "), r.Probe.SizeUnit, r.Probe.AssumedLoad, strings.Join(costs, "<br>"),
			r.Projected.Size, r.Projected.CPUMillisPerSecond/10, r.Projected.BytesPerSecond/1e3, r.Projected.MemoryBytes/1e6)
	}
	ok = true
	for _, role := range []string{"router", "agent"} {
		s := sumForRole(rows, role)
		fmt.Fprintf(&b, "| sum | %s | | | | | %.3f | %.2f | %.2f |\n", role, s.CPUMillisPerSecond/10,
			s.BytesPerSecond/1e3, s.MemoryBytes/1e6)
		ok = ok && s.CPUMillisPerSecond <= CPUMillisPerSecondLimit && s.BytesPerSecond <= BytesPerSecondLimit &&
			s.MemoryBytes <= MemoryBytesLimit
	}
	fmt.Fprintf(&b, "| limit per daemon | | | | | | %.3f | %.2f | %.2f |\n", CPUMillisPerSecondLimit/10,
		BytesPerSecondLimit/1e3, MemoryBytesLimit/1e6)
	_, err = io.WriteString(w, b.String())
	return ok, err
}

// sumForRole adds up the projected costs of the state machines that a program runs.
func sumForRole(rows []Row, role string) (s Point) {
	for _, r := range rows {
		if slices.Contains(r.Probe.Roles, role) {
			s.CPUMillisPerSecond, s.BytesPerSecond, s.MemoryBytes = s.CPUMillisPerSecond+r.Projected.CPUMillisPerSecond,
				s.BytesPerSecond+r.Projected.BytesPerSecond, s.MemoryBytes+r.Projected.MemoryBytes
		}
	}
	return s
}

// cpuTime returns the processor time of all threads of this process while f runs.
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

// liveHeapBytes returns the bytes of heap objects after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
