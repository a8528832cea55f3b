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
var shown = []string{"Content-Type", "Retry-After", "X-Session", "X-Answer"}

// script records what callers and operators see in a session.
type script struct {
	*site
	text strings.Builder
}

func (s *script) printf(format string, args ...any) { fmt.Fprintf(&s.text, format, args...) }

// step writes a heading.
func (s *script) step(title string) { s.printf("\n# %s\n", title) }

// run records a command of an operator, with the operator's settings where the command takes them.
func (s *script) run(verb string, args ...string) {
	s.t.Helper()
	flags := []string{verb, "--settings", filepath.Join(s.dir, "operator.json")}
	if verb == "check" { // the only command without settings
		flags = flags[:1]
	}
	out, code := s.tool(append(flags, args...)...)
	s.printf("$ hickoryvane %s\n%sexit %d\n", strings.Join(append([]string{verb}, args...), " "), out, code)
}

// call records a call at the n-th router and returns its answer.
func (s *script) call(n int, c call) reply {
	s.t.Helper()
	at := s.of("caller")[n]
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
	for _, h := range shown {
		if v := r.header.Get(h); v != "" {
			s.printf("< %s: %s\n", h, v)
		}
	}
	s.printf("%s\n", strings.TrimSpace(r.body))
	return r
}

var (
	idForm = regexp.MustCompile(`\b[0-9a-f]{32}\b`)
	// stampForm is the form of times in tables of operators.
	stampForm = regexp.MustCompile(`\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	tokenForm = regexp.MustCompile(`(X-Answer: |/v1/answers/)\S+`)
	// countForm is the count of a plain service's runs, which depends on the target that was picked.
	countForm = regexp.MustCompile(`"run":\d+`)
)

// normal replaces what differs between runs: folders, addresses, ids, times, tokens and run counts.
func (s *script) normal(text string) string {
	text = strings.ReplaceAll(text, s.decl, "DIR")
	text = strings.ReplaceAll(text, s.dir, "SETTINGS")
	for _, p := range s.places {
		text = strings.ReplaceAll(text, p.addr, "["+p.use+" "+p.name+"]")
	}
	ids := map[string]string{}
	text = idForm.ReplaceAllStringFunc(text, func(id string) string {
		if ids[id] == "" {
			ids[id] = fmt.Sprintf("[id %d]", len(ids)+1)
		}
		return ids[id]
	})
	text = stampForm.ReplaceAllString(text, "[time]")
	text = tokenForm.ReplaceAllString(text, "${1}[token]")
	return countForm.ReplaceAllString(text, `"run":[count]`)
}

// golden compares the script with a golden file byte for byte, or writes it.
func (s *script) golden(name string) {
	s.t.Helper()
	file := filepath.Join("testdata", "golden", name+".txt")
	got := s.normal(s.text.String())
	if *update {
		s.Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(got).To(Equal(string(want)))
}

// begin starts a deployment, applies its declarations and waits until it serves.
func (s *script) begin(warm ...call) {
	s.t.Helper()
	s.step("the declarations are applied")
	s.run("apply", s.decl)
	s.await(1)
	s.warm(warm...)
}

// warm waits until each router can reach the services of the calls. The calls are not recorded.
func (s *site) warm(calls ...call) {
	s.t.Helper()
	for _, at := range s.of("caller") {
		for _, c := range calls {
			s.Eventually(func() int { s.warmed++; return s.send(at.addr, c).code }, readyTime, pollTime).Should(Equal(200), at.name)
		}
	}
}
