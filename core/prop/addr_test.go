package prop_test

import (
	"os"
	"os/exec"
	"strings"
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

// listEnv makes TestHelperListsAddresses print addresses.
const listEnv = "PROP_LIST_ADDRESSES"

// TestHelperListsAddresses is the other process of TestFreeAddrDiffersBetweenProcesses.
func TestHelperListsAddresses(t *testing.T) {
	if os.Getenv(listEnv) == "" {
		t.SkipNow()
	}
	g := NewWithT(t)
	for range 2000 {
		a, err := prop.FreeAddr()
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = os.Stdout.WriteString("addr " + a + "\n")
	}
}

// Guards against test processes that run at the same time and get the same addresses.
func TestFreeAddrDiffersBetweenProcesses(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range 2000 {
		a, err := prop.FreeAddr()
		g.Expect(err).NotTo(HaveOccurred())
		seen[a] = true
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestHelperListsAddresses$")
	cmd.Env = append(os.Environ(), listEnv+"=1")
	out, err := cmd.Output()
	g.Expect(err).NotTo(HaveOccurred(), "%s", out)
	n := 0
	for _, line := range strings.Split(string(out), "\n") {
		if a, ok := strings.CutPrefix(line, "addr "); ok {
			n++
			g.Expect(seen).NotTo(HaveKey(a))
		}
	}
	g.Expect(n).To(Equal(2000))
}
