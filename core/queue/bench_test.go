package queue_test

import (
	"strconv"
	"testing"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/queue"
)

// BenchmarkPushNext measures one offer through a queue in which 500 offers of 100 accounts wait.
func BenchmarkPushNext(b *testing.B) {
	q := queue.New()
	ids := make([]ident.RequestID, 1024)
	for i := range ids {
		ids[i] = ident.RequestID(strconv.Itoa(i))
	}
	send := func(i int) {
		it := item(ids[i%len(ids)], ident.AccountID(strconv.Itoa(i%100)), ident.Tier(i%5), 100)
		it.Deadline = t0.Add(time.Duration(i%50) * time.Minute)
		_, _ = q.Push(t0, it)
	}
	for i := range 500 {
		send(i)
	}
	b.ReportAllocs()
	for i := 500; b.Loop(); i++ {
		send(i)
		if it, _, ok := q.Next(t0); ok {
			q.Started(t0, it.ID)
			q.Finished(t0, it.ID, queue.Outcome{Prompt: 100})
		}
	}
}
