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

// update makes the tests write the golden files anew; see "make golden".
var update = flag.Bool("update", false, "write the golden files anew")

// shown are the header fields that a script shows.
var shownHeaders = []string{"Content-Type", "Retry-After", "X-Session", "X-Answer"}

// script records what callers and operators see in a session.
type script struct {
	*deployment
	text strings.Builder
}

func (s *script) printf(format string, args ...any) { fmt.Fprintf(&s.text, format, args...) }

// step writes a heading.
func (s *script) heading(title string) { s.printf("\n# %s\n", title) }

// run records a command of an operator, with the operator's settings where the command takes them.
func (s *script) command(verb string, args ...string) {
	s.t.Helper()
	flags := []string{verb, "--settings", filepath.Join(s.runDir, "operator.json")}
	if verb == "check" { // the only command without settings
		flags = flags[:1]
	}
	out, code := s.operatorCommand(append(flags, args...)...)
	s.printf("$ hickoryvane %s\n%sexit %d\n", strings.Join(append([]string{verb}, args...), " "), out, code)
}

// call records a call at the n-th router and returns its answer.
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
	// stampForm is the form of times in tables of operators.
	timePattern  = regexp.MustCompile(`\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	tokenPattern = regexp.MustCompile(`(X-Answer: |/v1/answers/)\S+`)
	// countForm is the count of a plain service's runs, which depends on the target that was picked.
	countPattern = regexp.MustCompile(`"run":\d+`)
)

// normal replaces what differs between runs: folders, addresses, ids, times, tokens and run counts.
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

// golden compares the script with a golden file byte for byte, or writes it.
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

// begin starts a deployment, applies its declarations and waits until it serves.
func (s *script) applyAndWarmUp(warm ...call) {
	s.t.Helper()
	s.heading("the declarations are applied")
	s.command("apply", s.declDir)
	s.awaitGeneration(1)
	s.warmUp(warm...)
}

// warm waits until each router can reach the services of the calls. The calls are not recorded.
func (s *deployment) warmUp(calls ...call) {
	s.t.Helper()
	for _, at := range s.endpointsFor("caller") {
		for _, c := range calls {
			s.Eventually(func() int { s.warmUpCalls++; return s.send(at.addr, c).code }, readyTimeout, pollInterval).Should(Equal(200), at.name)
		}
	}
}
