package proof_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
)

// root is the top of the repository.
const root = ".."

var (
	fences  = regexp.MustCompile("(?ms)^```[^\n]*\n(.*?)^```")
	spans   = regexp.MustCompile("`([^`\n]+)`")
	links   = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ (.+)$`)
	scheme  = regexp.MustCompile(`^[a-z]+:`)
	mark    = regexp.MustCompile(`[^a-z0-9 _-]`)
	targets = regexp.MustCompile(`(?m)^([a-z]+):(?:[^=]|$)`)
	makes   = regexp.MustCompile(`(?:^|[\s;&])make((?: +[a-z][a-z-]*)+)`)
	tests   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	defined = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z]\w*)\(`)
	reasons = regexp.MustCompile(`(?m)^\s+\w+\s+Reason = "(\w+)"`)
	meters  = regexp.MustCompile(`"(hickoryvane(?:\.[a-z]+)+)"`)
	series  = regexp.MustCompile(`\bhickoryvane(?:_[a-z]+)+`)
	units   = regexp.MustCompile(`(?:_seconds|_bytes)?(?:_total)?$`)
	paths   = regexp.MustCompile(`(?:^|[\s("=])(?:\./|hickoryvane\.example/)?((?:core|router|agent|hickoryvane|standin|bench|proof)/[\w./-]+)`)
)

// files returns the files of the repository with the extension, as paths from its top.
func files(g *WithT, ext string) (names []string) {
	err := filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && name != root && (strings.HasPrefix(d.Name(), ".") || d.Name() == "bin") {
			return filepath.SkipDir
		}
		if !d.IsDir() && filepath.Ext(name) == ext {
			rel, err := filepath.Rel(root, name)
			names = append(names, rel)
			return err
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).NotTo(BeEmpty())
	return names
}

func read(g *WithT, name string) string {
	text, err := os.ReadFile(filepath.Join(root, name))
	g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// prose returns a page without its code blocks and code spans.
func prose(page string) string { return spans.ReplaceAllString(fences.ReplaceAllString(page, ""), "") }

// code returns the code blocks and code spans of a page.
func code(page string) (parts []string) {
	for _, m := range fences.FindAllStringSubmatch(page, -1) {
		parts = append(parts, m[1])
	}
	for _, m := range spans.FindAllStringSubmatch(fences.ReplaceAllString(page, ""), -1) {
		parts = append(parts, m[1])
	}
	return parts
}

// relative returns the links of a page that lead to files, as path and anchor.
func relative(page string) (out [][2]string) {
	for _, m := range links.FindAllStringSubmatch(prose(page), -1) {
		if scheme.MatchString(m[1]) {
			continue
		}
		file, anchor, _ := strings.Cut(m[1], "#")
		out = append(out, [2]string{file, anchor})
	}
	return out
}

// anchors returns the names under which the headings of a page can be linked.
func anchors(page string) (out []string) {
	for _, m := range heading.FindAllStringSubmatch(fences.ReplaceAllString(page, ""), -1) {
		plain := mark.ReplaceAllString(strings.ToLower(m[1]), "")
		out = append(out, strings.ReplaceAll(plain, " ", "-"))
	}
	return out
}

// Guards against links that lead nowhere after a page or a heading was renamed.
func TestLinksLeadSomewhere(t *testing.T) {
	g := NewWithT(t)
	for _, name := range files(g, ".md") {
		for _, l := range relative(read(g, name)) {
			to := name
			if l[0] != "" {
				to = filepath.Join(filepath.Dir(name), l[0])
				g.Expect(filepath.Join(root, to)).To(BeAnExistingFile(), "link %s in %s", l[0], name)
			}
			if l[1] != "" && filepath.Ext(to) == ".md" {
				g.Expect(anchors(read(g, to))).To(ContainElement(l[1]), "link #%s in %s", l[1], name)
			}
		}
	}
}

// Guards against pages that name a make target which does not exist.
func TestMakeTargetsExist(t *testing.T) {
	g := NewWithT(t)
	var known []string
	for _, m := range targets.FindAllStringSubmatch(read(g, "GNUmakefile"), -1) {
		known = append(known, m[1])
	}
	named := 0
	for _, name := range files(g, ".md") {
		for _, part := range code(read(g, name)) {
			for _, m := range makes.FindAllStringSubmatch(part, -1) {
				named++
				g.Expect(known).To(ContainElements(strings.Fields(m[1])), "%s in %s", m[0], name)
			}
		}
	}
	g.Expect(named).To(BeNumerically(">", 0))
}

// Guards against pages that no reader finds.
func TestPagesAreLinked(t *testing.T) {
	g := NewWithT(t)
	var found []string
	for _, name := range []string{"README.md", "docs/OPERATORS.md"} {
		for _, l := range relative(read(g, name)) {
			found = append(found, filepath.Join(filepath.Dir(name), l[0]))
		}
	}
	for _, name := range files(g, ".md") {
		if strings.HasPrefix(name, "docs/") {
			g.Expect(found).To(ContainElement(name))
		}
	}
}

// Guards against proofs that name a test or a package which was renamed or removed.
func TestProofsNameWhatExists(t *testing.T) {
	g := NewWithT(t)
	pages := slices.DeleteFunc(files(g, ".md"), func(name string) bool { return name != "docs/PROOFS.md" })
	if len(pages) == 0 {
		t.Skip("docs/PROOFS.md does not exist yet")
	}
	page := read(g, pages[0])
	have := functions(g)
	for _, name := range tests.FindAllString(page, -1) {
		g.Expect(have).To(HaveKey(name))
	}
	for _, part := range code(page) {
		for _, m := range paths.FindAllStringSubmatch(part, -1) {
			_, err := os.Stat(filepath.Join(root, strings.TrimRight(strings.TrimSuffix(m[1], "..."), "/.")))
			g.Expect(err).NotTo(HaveOccurred(), "path in %q", part)
		}
	}
}

// functions returns the names of all test functions of the repository.
func functions(g *WithT) map[string]bool {
	have := map[string]bool{}
	for _, name := range files(g, ".go") {
		if strings.HasSuffix(name, "_test.go") {
			for _, m := range defined.FindAllStringSubmatch(read(g, name), -1) {
				have[m[1]] = true
			}
		}
	}
	return have
}

// Guards against a reason that callers see and the protocol page does not explain, or with another status.
func TestProtocolListsAllReasons(t *testing.T) {
	g := NewWithT(t)
	page := read(g, "docs/PROTOCOL.md")
	all := reasons.FindAllStringSubmatch(read(g, "core/fault/fault.go"), -1)
	g.Expect(all).NotTo(BeEmpty())
	for _, m := range all {
		status := (&fault.Error{Reason: fault.Reason(m[1])}).Status()
		g.Expect(page).To(MatchRegexp("(?m)^\\| `%s` \\| %s\\b[^|]*\\| [^|]+ \\| [^|]+ \\|$", m[1], strconv.Itoa(status)))
	}
}

// Guards against pages that send operators to a metric which does not exist, and metrics that no page explains.
func TestPagesNameTheMetrics(t *testing.T) {
	g := NewWithT(t)
	known := map[string]bool{}
	for _, m := range meters.FindAllStringSubmatch(read(g, "core/meter/instrument.go"), -1) {
		known[strings.ReplaceAll(m[1], ".", "_")] = true
	}
	named := map[string]bool{}
	for _, name := range files(g, ".md") {
		for _, s := range series.FindAllString(read(g, name), -1) {
			base := units.ReplaceAllString(s, "")
			g.Expect(known).To(HaveKey(base), "%s in %s", s, name)
			named[base] = true
		}
	}
	g.Expect(named).To(Equal(known))
}
