package trace

import (
	"time"

	"hickoryvane.example/core/conf"
)

// sliceCount is the number of parts into which the time of a trace is divided.
const intervalCount = 60

// tierOf shortens the declared type in this package.
type declaredTier = conf.Tier

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

func (s *Interval) add(j *job) {
	s.Sent[j.Tier]++
	if j.good {
		s.Good[j.Tier]++
	}
	if !j.firstByteAt.IsZero() {
		s.Wait[j.Tier] += j.firstByteAt.Sub(j.arrivedAt)
	}
	if j.runCount > 0 {
		s.AllVersions++
		if j.ranNewVersion {
			s.NewVersion++
		}
	}
}
