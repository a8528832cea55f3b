package trace

import (
	"time"

	"hickoryvane.example/core/conf"
)

// sliceCount is the number of parts into which the time of a trace is divided.
const sliceCount = 60

// tierOf shortens the declared type in this package.
type tierOf = conf.Tier

func (w *world) slices(tiers int) []Slice {
	width := max(w.h.Length.Duration()/sliceCount, time.Millisecond)
	list := make([]Slice, sliceCount)
	for i := range list {
		list[i] = Slice{
			Start: time.Duration(i) * width,
			Sent:  make([]int, tiers), Good: make([]int, tiers), Wait: make([]time.Duration, tiers),
		}
	}
	answered := make([][]int, sliceCount)
	for i := range answered {
		answered[i] = make([]int, tiers)
	}
	for _, j := range w.jobs {
		i := min(int(j.start.Sub(epoch)/width), sliceCount-1)
		if int(j.Tier) >= tiers {
			continue
		}
		list[i].add(j)
		if !j.first.IsZero() {
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

func (s *Slice) add(j *job) {
	s.Sent[j.Tier]++
	if j.good {
		s.Good[j.Tier]++
	}
	if !j.first.IsZero() {
		s.Wait[j.Tier] += j.first.Sub(j.start)
	}
	if j.runs > 0 {
		s.All++
		if j.trial {
			s.Trial++
		}
	}
}
