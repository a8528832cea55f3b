package meter_test

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
)

func newMeter(t testing.TB, opts ...meter.Option) *meter.Meter {
	m, err := meter.New(opts...)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = m.Close(t.Context()) })
	m.Configure([]ident.AccountID{"big", "small"}, []ident.Service{"assess"})
	return m
}

func scrape(m *meter.Meter) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// Guards against an instrument that is not served, or is served without its labels or bucket bounds.
func TestAllInstrumentsAreServed(t *testing.T) {
	g := NewWithT(t)
	m := newMeter(t, meter.WithProcess("r1"))
	m.RecordQueueing(0, "big", "assess", 30*time.Millisecond)
	m.RecordFirstToken(0, "big", "assess", 600*time.Millisecond)
	m.RecordTokenGap(0, "big", "assess", 36*time.Millisecond)
	m.RecordLength(0, "big", "assess", 100)
	m.CountGoodput(1)
	m.CountShed(2, fault.Shed)
	m.CountWastedPrefill(64)
	m.CountLinkBytes("small", 1000)
	m.CountRefused(fault.Deadline)
	m.CountOverQuota("small")
	m.CountResent("assess", "lost")
	text := scrape(m)
	for _, line := range []string{
		`hickoryvane_queueing_seconds_count{account="big",service="assess",tier="0"} 1`,
		`hickoryvane_first_token_seconds_bucket{account="big",service="assess",tier="0",le="0.67"} 1`,
		`hickoryvane_token_gap_seconds_bucket{account="big",service="assess",tier="0",le="0.036"} 1`,
		`hickoryvane_length_sum{account="big",service="assess",tier="0"} 100`,
		`hickoryvane_goodput_total{tier="1"} 1`,
		`hickoryvane_shed_total{reason="shed",tier="2"} 1`,
		`hickoryvane_wasted_prefill_total 64`,
		`hickoryvane_link_bytes_total{account="small"} 1000`,
		`hickoryvane_refused_total{reason="deadline"} 1`,
		`hickoryvane_quota_refused_total{account="small"} 1`,
		`hickoryvane_repeated_total{after="lost",service="assess"} 1`,
		`service_instance_id="r1"`,
	} {
		g.Expect(text).To(ContainSubstring(line))
	}
}

// Guards against memory that grows with names chosen by callers, or with the product of accounts and services.
func TestLabelSetsAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := newMeter(t, meter.WithLabelSetsMax(10))
	names := make([]ident.AccountID, 100)
	for i := range names {
		names[i] = ident.AccountID(fmt.Sprintf("a%d", i))
	}
	m.Configure(names, []ident.Service{"s"})
	for i := range 200 {
		m.RecordQueueing(ident.Tier(i), ident.AccountID(fmt.Sprintf("a%d", i)), "s", time.Second)
		m.CountRefused(fault.Reason(fmt.Sprint("r", i)))
		m.CountShed(ident.Tier(i), fault.Reason(fmt.Sprint("r", i)))
		m.CountGoodput(ident.Tier(i))
	}
	text := scrape(m)
	g.Expect(strings.Count(text, "hickoryvane_queueing_seconds_count")).To(BeNumerically("<=", 10+17)) // and one fallback for each tier label
	g.Expect(strings.Count(text, "hickoryvane_refused_total{")).To(Equal(33))                          // 32 reasons and "other"
	g.Expect(strings.Count(text, "hickoryvane_goodput_total{")).To(Equal(17))                          // tiers 0 to 15 and "other"
	g.Expect(text).To(ContainSubstring(`{account="other",service="other",tier="other"}`))
	g.Expect(text).NotTo(ContainSubstring(`account="a150"`), "not in the configuration")
	g.Expect(text).NotTo(ContainSubstring("otel_metric_overflow"))
}

// BenchmarkTokenGap measures the most frequent call, which is made once per token.
func BenchmarkTokenGap(b *testing.B) {
	m := newMeter(b)
	b.ReportAllocs()
	for b.Loop() {
		m.RecordTokenGap(0, "big", "assess", 30*time.Millisecond)
	}
}

// BenchmarkFull measures the heap of a meter whose label sets are all in use, and the size of one scrape,
// uncompressed and compressed.
func BenchmarkFull(b *testing.B) {
	before := heapBytes()
	for b.Loop() {
		m := newMeter(b)
		names := make([]ident.AccountID, 1000)
		for i := range names {
			names[i] = ident.AccountID(fmt.Sprintf("account-%d", i))
		}
		m.Configure(names, []ident.Service{"assess"})
		for i, a := range names {
			d := time.Duration(i) * time.Millisecond
			m.RecordQueueing(0, a, "assess", d)
			m.RecordFirstToken(0, a, "assess", d)
			m.RecordTokenGap(0, a, "assess", d)
			m.RecordLength(0, a, "assess", ident.Tokens(i))
		}
		b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
		b.ReportMetric(float64(len(scrape(m))), "plain-bytes")
		w, r := httptest.NewRecorder(), httptest.NewRequest("GET", "/metrics", nil)
		r.Header.Set("Accept-Encoding", "gzip")
		m.Handler().ServeHTTP(w, r)
		b.ReportMetric(float64(w.Body.Len()), "gzip-bytes")
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
