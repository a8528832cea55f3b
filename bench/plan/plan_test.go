package plan_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/bench/plan"
	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/ident"
)

const mixText = `{
	// Two kinds.
	"seed": 7,
	"kinds": [
		{"name": "draft", "rate": 20, "key": "k", "tier": "urgent", "prompt": [100, 200], "output": [5, 9],
		 "sessions": 3, "shared": 0.5, "prefix": 64},
		{"name": "order", "rate": 10, "key": "k", "service": "booking", "method": "POST", "path": "/orders",
		 "keyed": true, "resend": 1},
	],
}`

func readMix(g *WithT, dir, text string) (*plan.Mix, error) {
	name := filepath.Join(dir, "mix.json")
	g.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return plan.ReadMix(name)
}

// Guards against a load that differs between two runs with the same seed, or that exceeds its bounds.
func TestRequestsAreReproducibleAndBounded(t *testing.T) {
	g := NewWithT(t)
	m, err := readMix(g, t.TempDir(), mixText)
	g.Expect(err).NotTo(HaveOccurred())
	a := m.Requests(plan.Bounds{MaxRequests: 1000, Duration: 10 * time.Second})
	g.Expect(a).To(Equal(m.Requests(plan.Bounds{MaxRequests: 1000, Duration: 10 * time.Second})))
	g.Expect(len(a)).To(BeNumerically("~", 400, 80)) // 20/s drafts, 10/s orders sent twice
	g.Expect(m.Requests(plan.Bounds{MaxRequests: 5, Duration: 10 * time.Second})).To(HaveLen(5))
	r, err := chat.Parse(a[firstOfKind(a, "draft")].Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ident.EstimateTokens(len(r.Messages[0].Content))).To(And(BeNumerically(">=", 100), BeNumerically("<=", 200)))
	g.Expect(a[firstOfKind(a, "order")].Path).To(Equal("/services/booking/orders"))
}

// Guards against a mix with a misspelt field or an invalid value that is accepted and sends another load than meant.
func TestReadMixRejectsInvalidMixes(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		`{}`, `{"kinds": [{"name": "a"}]}`, `{"kinds": [{"name": "a", "rate": 1, "tire": "x"}]}`,
		`{"kinds": [{"name": "a", "rate": 1, "prompt": [5, 2]}]}`, `{"kinds": [{"name": "a", "rate": 1, "resend": 1}]}`,
	} {
		_, err := readMix(g, t.TempDir(), text)
		g.Expect(err).To(MatchError(plan.ErrInvalidMix), text)
	}
}

func firstOfKind(requests []plan.Request, kind string) int {
	for i, req := range requests {
		if req.Kind == kind {
			return i
		}
	}
	return -1
}
