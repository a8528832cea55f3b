package cells_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/cells"
	"hickoryvane.example/core/ident"
)

func routers(n int) (out []ident.ProcessID) {
	for i := range n {
		out = append(out, ident.ProcessID(fmt.Sprintf("front-%c-%d", 'a'+i%6, i/6)))
	}
	return out
}

// Guards against small deployments that are divided, and cells of uneven numbers of routers.
func TestCellsHaveEqualNumbersOfRouters(t *testing.T) {
	g := NewWithT(t)
	for n, count := range map[int]int{1: 1, 23: 1, 47: 1, 48: 2, 103: 4, 301: 8, 345: 8} {
		sizes := map[int]int{}
		for _, c := range cells.Assign(routers(n)) {
			g.Expect(c.Count).To(Equal(count))
			sizes[c.Index]++
		}
		g.Expect(sizes).To(HaveLen(count))
		for _, k := range sizes {
			g.Expect(k).To(BeNumerically("~", n/count, 1))
		}
	}
}

// Guards against a router that comes and moves many others to other cells.
func TestNewRouterMovesFewOthers(t *testing.T) {
	g := NewWithT(t)
	before, after := cells.Assign(routers(300)), cells.Assign(routers(301))
	moved := 0
	for id, c := range before {
		if after[id] != c {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<=", 8))
}

// Guards against targets that no cell or several cells use, and against cells without targets.
func TestEachTargetBelongsToOneCell(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{3000, 300, 100, 6} {
		sizes, uses := map[int]int{}, 0
		for i := range n {
			for c := range 8 {
				if (cells.Cell{Index: c, Count: 8}).Contains(ident.TargetID(fmt.Sprint("i-", i)), n) {
					sizes[c]++
					uses++
				}
			}
		}
		g.Expect(sizes).To(HaveLen(8), "%d targets", n)
		for _, k := range sizes {
			g.Expect(k).To(BeNumerically(">=", min(n, 6)), "%d targets", n)
		}
		if n >= 8*16 {
			g.Expect(uses).To(Equal(n))
		}
	}
	g.Expect(cells.Cell{Count: 1}.Contains("x", 1000)).To(BeTrue())
}
