package prop_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/prop"
)

// Guards against two processes of a test on one address: the second ends, and the first answers for it.
func TestFreeAddrReturnsAnAddressOnce(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range 500 {
		a, err := prop.FreeAddr()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seen).NotTo(HaveKey(a))
		seen[a] = true
	}
}
