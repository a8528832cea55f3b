package deploy_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/bench/deploy"
	"hickoryvane.example/core/conf"
)

func writeSettings(t *testing.T, example string) (cfg conf.Config, dir string) {
	t.Helper()
	g := NewWithT(t)
	cfg, problems := conf.Load(filepath.Join("..", "..", "examples", example))
	g.Expect(problems).To(BeEmpty())
	dir = filepath.Join(t.TempDir(), "out")
	p, err := deploy.New(cfg, deploy.NewPorts(7))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Write(dir)).To(Succeed())
	return cfg, dir
}

func readLines(g *WithT, dir, name string) [][]string {
	b, err := os.ReadFile(filepath.Join(dir, name))
	g.Expect(err).NotTo(HaveOccurred())
	var list [][]string
	for line := range strings.Lines(string(b)) {
		list = append(list, strings.Split(strings.TrimSuffix(line, "\n"), "\t"))
	}
	return list
}

// Guards against settings that the programs refuse, and a target without an agent, a stand-in or settings.
func TestSettingsAreValidAndCoverAllTargets(t *testing.T) {
	for _, example := range []string{"rekkverk", "brunner"} {
		g := NewWithT(t)
		cfg, dir := writeSettings(t, example)
		_, problems := conf.ReadSettings[conf.Operator](filepath.Join(dir, "operator.json"))
		g.Expect(problems).To(BeEmpty())
		routers, agents := 0, 0
		for _, p := range readLines(g, dir, "processes.txt") {
			switch p[1] {
			case "router":
				_, problems = conf.ReadSettings[conf.Router](p[4])
				routers++
			case "agent":
				_, problems = conf.ReadSettings[conf.Agent](p[4])
				agents++
			}
			g.Expect(problems).To(BeEmpty(), p[0])
		}
		g.Expect(routers).To(Equal(2))
		g.Expect(agents).To(Equal(len(cfg.Targets)))
		g.Expect(readLines(g, dir, "processes.txt")).To(HaveLen(2 + routers + 2*agents))
	}
}

// Guards against an address that two processes are to listen on, and routers in one data centre.
func TestAddressesDifferAndRoutersAreInTwoRegions(t *testing.T) {
	g := NewWithT(t)
	_, dir := writeSettings(t, "rekkverk")
	seen := map[string]bool{}
	for _, a := range readLines(g, dir, "addresses.txt") {
		g.Expect(seen).NotTo(HaveKey(a[2]))
		seen[a[2]] = true
	}
	a, _ := conf.ReadSettings[conf.Router](filepath.Join(dir, "router-bergen-a.json"))
	b, _ := conf.ReadSettings[conf.Router](filepath.Join(dir, "router-trondheim-a.json"))
	g.Expect(a.Region).NotTo(Equal(b.Region))
}
