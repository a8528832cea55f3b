package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
)

// leaves returns the time in ms at which a request leaves a target that sends one event at once and then nothing, and the
// number of times that the target is asked; zero if it does not leave it within 10 s. state returns what the target
// answers.
func leaves(kind route.Kind, state func(ms int) sched.TargetState) (leftAt, asked int) {
	rt := &route.Route{Kind: kind, FirstEventGoal: 400 * time.Millisecond, EventGapGoal: 400 * time.Millisecond}
	j := job("j", 0, 1, 0)
	j.Prompt, j.Stride = 1000, 6
	s := sched.NewStall(at(0), rt, j, false)
	s.RecordEvent()
	s.RecordWritten(at(0))
	for ms := 0; ms < 10_000; {
		step, again := s.Next(at(ms), at(0))
		switch step {
		case sched.StallLeave:
			return ms, asked
		case sched.StallAsk:
			asked++
			s.RecordState(at(ms), state(ms))
		default:
			ms += int(again / time.Millisecond)
		}
	}
	return 0, asked
}

// Guards against a stream that leaves a target which preempted it for lack of memory and goes on with it, and against one
// that waits for a target which hangs.
func TestStreamLeavesOnlyATargetThatCannotGoOn(t *testing.T) {
	g := NewWithT(t)
	always := func(s sched.TargetState) func(int) sched.TargetState {
		return func(int) sched.TargetState { return s }
	}
	stays := func(s sched.TargetState) {
		at, asked := leaves(route.Stream, always(s))
		g.Expect(at).To(BeZero(), "%+v", s)
		g.Expect(asked).To(BeNumerically("<=", 18), "a call each half second")
	}
	leavesAt := func(kind route.Kind, s sched.TargetState, ms int) {
		at, asked := leaves(kind, always(s))
		g.Expect(at).To(Equal(ms), "%+v", s)
		g.Expect(asked).To(BeNumerically("<=", 5))
	}
	stays(sched.TargetState{Answers: true, Known: true, Free: 1005})
	stays(sched.TargetState{Answers: true, Known: true, Free: 5000, Waiting: 1})
	leavesAt(route.Stream, sched.TargetState{Answers: true, Known: true, Free: 1006}, 1600)
	leavesAt(route.Stream, sched.TargetState{}, 1600)
	leavesAt(route.Stream, sched.TargetState{Answers: true}, 3200)
	leavesAt(route.Safe, sched.TargetState{Answers: true, Known: true}, 600)
	at, _ := leaves(route.Stream, func(ms int) sched.TargetState {
		return sched.TargetState{Answers: true, Known: true, Free: 5000, Waiting: max(2500-ms, 0)}
	})
	g.Expect(at).To(BeNumerically("~", 2500, 500), "it has room, and still sends nothing")
}
