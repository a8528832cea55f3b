package plan_test

import (
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/bench/plan"
)

// Guards against a mix of the repository that cannot be read or sends nothing of a kind.
func TestRepositoryMixesAreValidAndSendEveryKind(t *testing.T) {
	g := NewWithT(t)
	names, err := filepath.Glob("../mixes/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).To(HaveLen(2))
	for _, name := range names {
		m, err := plan.ReadMix(name)
		g.Expect(err).NotTo(HaveOccurred())
		shots := m.Requests(plan.Bounds{MaxRequests: 10000, Duration: time.Minute})
		for _, k := range m.Kinds {
			g.Expect(firstOfKind(shots, k.Name)).To(BeNumerically(">=", 0), k.Name)
		}
	}
}
