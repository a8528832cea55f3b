package prop_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/prop"
)

// Guards against two processes of a test with the same address: the second cannot listen and exits, and the first
// answers its requests.
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
