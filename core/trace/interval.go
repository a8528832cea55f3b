package trace

import (
	"time"

	"hickoryvane.example/core/conf"
)

// intervalCount is the number of intervals into which the length of a trace is divided.
const intervalCount = 60

// declaredTier is a tier as declared in the header of the trace.
type declaredTier = conf.Tier

// intervals returns the figures of the requests by their time of arrival.
func (w *world) intervals(tiers int) []Interval {
	width := max(w.h.Length.Duration()/intervalCount, time.Millisecond)
	list := make([]Interval, intervalCount)
	for i := range list {
		list[i] = Interval{
			Start: time.Duration(i) * width,
			Sent:  make([]int, tiers), Good: make([]int, tiers), Wait: make([]time.Duration, tiers),
		}
	}
	answered := make([][]int, intervalCount)
	for i := range answered {
		answered[i] = make([]int, tiers)
	}
	for _, j := range w.jobs {
		i := min(int(j.arrivedAt.Sub(epoch)/width), intervalCount-1)
		if int(j.Tier) >= tiers {
			continue
		}
		list[i].add(j)
		if !j.firstByteAt.IsZero() {
			answered[i][j.Tier]++
		}
	}
	for i := range list {
		for t, n := range answered[i] {
			list[i].Wait[t] /= time.Duration(max(1, n))
		}
	}
	return list
}

// add counts a request. It adds up Wait, which intervals then divides by the number of answers.
func (v *Interval) add(j *job) {
	v.Sent[j.Tier]++
	if j.good {
		v.Good[j.Tier]++
	}
	if !j.firstByteAt.IsZero() {
		v.Wait[j.Tier] += j.firstByteAt.Sub(j.arrivedAt)
	}
	if j.runCount > 0 {
		v.AllVersions++
		if j.ranNewVersion {
			v.NewVersion++
		}
	}
}
