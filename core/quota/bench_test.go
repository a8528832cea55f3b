package quota_test

import (
	"fmt"
	"testing"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/quota"
)

// BenchmarkTake measures one request, and BenchmarkMerge one fact, among 100 routers.
func BenchmarkTake(b *testing.B) {
	q := newCrowdedQuota()
	b.ReportAllocs()
	for b.Loop() {
		_ = q.Take(t0, "a", 0)
	}
}

func BenchmarkMerge(b *testing.B) {
	q := newCrowdedQuota()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Merge(t0, quota.Demand{Account: "a", Router: "50", Rate: float64(i)})
	}
}

func newCrowdedQuota() *quota.Quota {
	q := quota.New("self")
	q.SetRouterCount(100)
	q.SetLimit(t0, "a", quota.Limit{Rate: rate, Burst: burst})
	for i := range 100 {
		q.Merge(t0, quota.Demand{Account: "a", Router: ident.ProcessID(fmt.Sprint(i)), Rate: 10})
	}
	return q
}
