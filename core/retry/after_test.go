package retry_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/retry"
)

// Guards against odd values of a time to wait that are taken for a time, or for one without a bound.
func TestOddTimesToWait(t *testing.T) {
	g := NewWithT(t)
	for v, want := range map[string]time.Duration{
		"2": 2 * time.Second, " 0.25 ": 250 * time.Millisecond, "0": 0, ".5": 500 * time.Millisecond,
		"31536000": retry.AfterMax, strings.Repeat("9", 400): retry.AfterMax, "600.0001": retry.AfterMax,
	} {
		d, err := retry.ParseAfter(v)
		g.Expect(err).NotTo(HaveOccurred(), v)
		g.Expect(d).To(Equal(want), v)
	}
	for _, v := range []string{"", " ", "-1", "+1", "NaN", "Inf", "1e3", "0x10", "1_0", "1,5", "..", ".", "1.2.3", "soon", "Sat, 05 Dec 2026 12:00:00 GMT"} {
		_, err := retry.ParseAfter(v)
		g.Expect(err).To(HaveOccurred(), v)
	}
}

// Guards against any value that makes a negative time, or one beyond the bound.
func FuzzParseAfter(f *testing.F) {
	for _, v := range []string{"", "1", "0.5", "-1", "1e308", "NaN", "999999999999999999999", "Sat, 05 Dec 2026 12:00:00 GMT"} {
		f.Add(v)
	}
	f.Fuzz(func(t *testing.T, v string) {
		if d, err := retry.ParseAfter(v); d < 0 || d > retry.AfterMax || err != nil && d != 0 {
			t.Fatalf("%q: %v, %v", v, d, err)
		}
	})
}
