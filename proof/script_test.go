package proof_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/gomega"
)

// update makes the tests overwrite the golden files; see "make golden".
var update = flag.Bool("update", false, "write the golden files anew")

// shownHeaders are the response headers that a script records.
var shownHeaders = []string{"Content-Type", "Retry-After", "X-Session", "X-Answer"}

// script records the output that callers and operators see in a session.
type script struct {
	*deployment
	text strings.Builder
}

func (s *script) printf(format string, args ...any) { fmt.Fprintf(&s.text, format, args...) }

// heading writes a heading.
func (s *script) heading(title string) { s.printf("\n# %s\n", title) }

// command runs and records an operator command, with the operator's settings if the command takes them.
func (s *script) command(verb string, args ...string) {
	s.t.Helper()
	flags := []string{verb, "--settings", filepath.Join(s.runDir, "operator.json")}
	if verb == "check" { // the only command without settings
		flags = flags[:1]
	}
	out, code := s.operatorCommand(append(flags, args...)...)
	s.printf("$ hickoryvane %s\n%sexit %d\n", strings.Join(append([]string{verb}, args...), " "), out, code)
}

// call sends a call to the n-th router, records it and returns the reply.
func (s *script) call(n int, c call) reply {
	s.t.Helper()
	at := s.endpointsFor("caller")[n]
	r := s.send(at.addr, c)
	s.printf("> %s: %s %s as %q", at.name, c.method, c.path, c.account)
	if c.key != "" {
		s.printf(", key %s", c.key)
	}
	s.printf("\n")
	if c.body != "" {
		s.printf("  %s\n", c.body)
	}
	if r.err != nil {
		s.printf("< no answer\n")
		return r
	}
	s.printf("< %d\n", r.code)
	for _, h := range shownHeaders {
		if v := r.header.Get(h); v != "" {
			s.printf("< %s: %s\n", h, v)
		}
	}
	s.printf("%s\n", strings.TrimSpace(r.body))
	return r
}

var (
	idPattern = regexp.MustCompile(`\b[0-9a-f]{32}\b`)
	// timePattern matches the times in the operator's tables.
	timePattern  = regexp.MustCompile(`\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	tokenPattern = regexp.MustCompile(`(X-Answer: |/v1/answers/)\S+`)
	// countPattern matches the run count of a plain service, which depends on the target that was picked.
	countPattern = regexp.MustCompile(`"run":\d+`)
)

// normalize replaces the values that differ between runs: folders, addresses, ids, times, tokens and run counts.
func (s *script) normalize(text string) string {
	text = strings.ReplaceAll(text, s.declDir, "DIR")
	text = strings.ReplaceAll(text, s.runDir, "SETTINGS")
	for _, p := range s.endpoints {
		text = strings.ReplaceAll(text, p.addr, "["+p.use+" "+p.name+"]")
	}
	ids := map[string]string{}
	text = idPattern.ReplaceAllStringFunc(text, func(id string) string {
		if ids[id] == "" {
			ids[id] = fmt.Sprintf("[id %d]", len(ids)+1)
		}
		return ids[id]
	})
	text = timePattern.ReplaceAllString(text, "[time]")
	text = tokenPattern.ReplaceAllString(text, "${1}[token]")
	return countPattern.ReplaceAllString(text, `"run":[count]`)
}

// compareGolden compares the normalized script with a golden file byte for byte. With -update it writes the file
// first.
func (s *script) compareGolden(name string) {
	s.t.Helper()
	file := filepath.Join("testdata", "golden", name+".txt")
	got := s.normalize(s.text.String())
	if *update {
		s.Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(got).To(Equal(string(want)))
}

// applyAndWarmUp applies the declarations of a deployment and waits until it serves the calls.
func (s *script) applyAndWarmUp(warm ...call) {
	s.t.Helper()
	s.heading("the declarations are applied")
	s.command("apply", s.declDir)
	s.awaitGeneration(1)
	s.warmUp(warm...)
}

// warmUp waits until each router answers each of the calls with 200. The calls are not recorded.
func (s *deployment) warmUp(calls ...call) {
	s.t.Helper()
	for _, at := range s.endpointsFor("caller") {
		for _, c := range calls {
			s.Eventually(func() int { s.warmUpCalls++; return s.send(at.addr, c).code }, readyTimeout, pollInterval).Should(Equal(200), at.name)
		}
	}
}
