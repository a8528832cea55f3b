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

// repoRoot is the top of the repository.
const repoRoot = ".."

var (
	codeBlocks      = regexp.MustCompile("(?ms)^```[^\n]*\n(.*?)^```")
	codeSpans       = regexp.MustCompile("`([^`\n]+)`")
	linkPattern     = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern  = regexp.MustCompile(`(?m)^#+ (.+)$`)
	urlScheme       = regexp.MustCompile(`^[a-z]+:`)
	nonAnchorChars  = regexp.MustCompile(`[^a-z0-9 _-]`)
	makeTargets     = regexp.MustCompile(`(?m)^([a-z]+):(?:[^=]|$)`)
	makeCommands    = regexp.MustCompile(`(?:^|[\s;&])make((?: +[a-z][a-z-]*)+)`)
	testNames       = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	testDefinitions = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z]\w*)\(`)
	reasonConstants = regexp.MustCompile(`(?m)^\s+\w+\s+Reason = "(\w+)"`)
	metricNames     = regexp.MustCompile(`"(hickoryvane(?:\.[a-z]+)+)"`)
	seriesNames     = regexp.MustCompile(`\bhickoryvane(?:_[a-z]+)+`)
	unitSuffix      = regexp.MustCompile(`(?:_seconds|_bytes)?(?:_total)?$`)
	repoPaths       = regexp.MustCompile(`(?:^|[\s("=])(?:\./|hickoryvane\.example/)?((?:core|router|agent|hickoryvane|standin|bench|proof)/[\w./-]+)`)
)

// filesWithExt returns the files of the repository with the extension, as paths from its top.
func filesWithExt(g *WithT, ext string) (names []string) {
	err := filepath.WalkDir(repoRoot, func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && name != repoRoot && (strings.HasPrefix(d.Name(), ".") || d.Name() == "bin") {
			return filepath.SkipDir
		}
		if !d.IsDir() && filepath.Ext(name) == ext {
			rel, err := filepath.Rel(repoRoot, name)
			names = append(names, rel)
			return err
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).NotTo(BeEmpty())
	return names
}

func readFile(g *WithT, name string) string {
	text, err := os.ReadFile(filepath.Join(repoRoot, name))
	g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// prose returns a page without its code blocks and code spans.
func prose(page string) string {
	return codeSpans.ReplaceAllString(codeBlocks.ReplaceAllString(page, ""), "")
}

// codeParts returns the code blocks and code spans of a page.
func codeParts(page string) (parts []string) {
	for _, m := range codeBlocks.FindAllStringSubmatch(page, -1) {
		parts = append(parts, m[1])
	}
	for _, m := range codeSpans.FindAllStringSubmatch(codeBlocks.ReplaceAllString(page, ""), -1) {
		parts = append(parts, m[1])
	}
	return parts
}

// fileLinks returns the links of a page to files, as path and anchor.
func fileLinks(page string) (out [][2]string) {
	for _, m := range linkPattern.FindAllStringSubmatch(prose(page), -1) {
		if urlScheme.MatchString(m[1]) {
			continue
		}
		file, anchor, _ := strings.Cut(m[1], "#")
		out = append(out, [2]string{file, anchor})
	}
	return out
}

// anchors returns the anchors of the headings of a page.
func anchors(page string) (out []string) {
	for _, m := range headingPattern.FindAllStringSubmatch(codeBlocks.ReplaceAllString(page, ""), -1) {
		plain := nonAnchorChars.ReplaceAllString(strings.ToLower(m[1]), "")
		out = append(out, strings.ReplaceAll(plain, " ", "-"))
	}
	return out
}

// Guards against links that break when a page or a heading is renamed.
func TestPageLinksResolve(t *testing.T) {
	g := NewWithT(t)
	for _, name := range filesWithExt(g, ".md") {
		for _, l := range fileLinks(readFile(g, name)) {
			to := name
			if l[0] != "" {
				to = filepath.Join(filepath.Dir(name), l[0])
				g.Expect(filepath.Join(repoRoot, to)).To(BeAnExistingFile(), "link %s in %s", l[0], name)
			}
			if l[1] != "" && filepath.Ext(to) == ".md" {
				g.Expect(anchors(readFile(g, to))).To(ContainElement(l[1]), "link #%s in %s", l[1], name)
			}
		}
	}
}

// Guards against pages that mention a make target which does not exist.
func TestMakeTargetsExist(t *testing.T) {
	g := NewWithT(t)
	var known []string
	for _, m := range makeTargets.FindAllStringSubmatch(readFile(g, "GNUmakefile"), -1) {
		known = append(known, m[1])
	}
	named := 0
	for _, name := range filesWithExt(g, ".md") {
		for _, part := range codeParts(readFile(g, name)) {
			for _, m := range makeCommands.FindAllStringSubmatch(part, -1) {
				named++
				g.Expect(known).To(ContainElements(strings.Fields(m[1])), "%s in %s", m[0], name)
			}
		}
	}
	g.Expect(named).To(BeNumerically(">", 0))
}

// Guards against pages under docs that are linked neither from the README nor from the operators' page.
func TestPagesAreLinked(t *testing.T) {
	g := NewWithT(t)
	var found []string
	for _, name := range []string{"README.md", "docs/OPERATORS.md"} {
		for _, l := range fileLinks(readFile(g, name)) {
			found = append(found, filepath.Join(filepath.Dir(name), l[0]))
		}
	}
	for _, name := range filesWithExt(g, ".md") {
		if strings.HasPrefix(name, "docs/") {
			g.Expect(found).To(ContainElement(name))
		}
	}
}

// Guards against a page of proofs that names a test or a package which was renamed or removed.
func TestProofsNameWhatExists(t *testing.T) {
	g := NewWithT(t)
	pages := slices.DeleteFunc(filesWithExt(g, ".md"), func(name string) bool { return name != "docs/PROOFS.md" })
	if len(pages) == 0 {
		t.Skip("docs/PROOFS.md does not exist yet")
	}
	page := readFile(g, pages[0])
	have := testFunctions(g)
	for _, name := range testNames.FindAllString(page, -1) {
		g.Expect(have).To(HaveKey(name))
	}
	for _, part := range codeParts(page) {
		for _, m := range repoPaths.FindAllStringSubmatch(part, -1) {
			_, err := os.Stat(filepath.Join(repoRoot, strings.TrimRight(strings.TrimSuffix(m[1], "..."), "/.")))
			g.Expect(err).NotTo(HaveOccurred(), "path in %q", part)
		}
	}
}

// testFunctions returns the names of all test, fuzz and benchmark functions of the repository.
func testFunctions(g *WithT) map[string]bool {
	have := map[string]bool{}
	for _, name := range filesWithExt(g, ".go") {
		if strings.HasSuffix(name, "_test.go") {
			for _, m := range testDefinitions.FindAllStringSubmatch(readFile(g, name), -1) {
				have[m[1]] = true
			}
		}
	}
	return have
}

// Guards against a reason sent to callers that the protocol page does not list, or lists with another status.
func TestProtocolListsAllReasons(t *testing.T) {
	g := NewWithT(t)
	page := readFile(g, "docs/PROTOCOL.md")
	all := reasonConstants.FindAllStringSubmatch(readFile(g, "core/fault/fault.go"), -1)
	g.Expect(all).NotTo(BeEmpty())
	for _, m := range all {
		status := (&fault.Error{Reason: fault.Reason(m[1])}).Status()
		g.Expect(page).To(MatchRegexp("(?m)^\\| `%s` \\| %s\\b[^|]*\\| [^|]+ \\| [^|]+ \\|$", m[1], strconv.Itoa(status)))
	}
}

// Guards against pages that mention a metric which does not exist, and against metrics that no page mentions.
func TestPagesNameTheMetrics(t *testing.T) {
	g := NewWithT(t)
	known := map[string]bool{}
	for _, m := range metricNames.FindAllStringSubmatch(readFile(g, "core/meter/instrument.go"), -1) {
		known[strings.ReplaceAll(m[1], ".", "_")] = true
	}
	named := map[string]bool{}
	for _, name := range filesWithExt(g, ".md") {
		for _, s := range seriesNames.FindAllString(readFile(g, name), -1) {
			base := unitSuffix.ReplaceAllString(s, "")
			g.Expect(known).To(HaveKey(base), "%s in %s", s, name)
			named[base] = true
		}
	}
	g.Expect(named).To(Equal(known))
}
