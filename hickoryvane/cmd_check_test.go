package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/store"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against a problem without its line, key or severity, against an exit code or output other than documented, and
// against differences that are listed although their meaning is the same.
func TestReportsOfCheck(t *testing.T) {
	t.Chdir(filepath.Join("testdata", "check"))
	for _, c := range []struct {
		golden string
		code   int
		args   []string
	}{
		{"faulty.txt", exitInvalid, []string{"faulty"}},
		{"faulty.json", exitInvalid, []string{"--json", "faulty"}},
		{"odd.txt", exitOK, []string{"--against", "before", "odd"}},
		{"odd.json", exitOK, []string{"--json", "--against", "before", "odd"}},
		{"same.txt", exitOK, []string{"--against", "before", "before"}},
		{"unreadable.txt", exitFailed, []string{"--against", "faulty", "before"}},
		{"usage.txt", exitInvalid, []string{"--against", "x", "--active", "before"}},
	} {
		g := NewWithT(t)
		var out, errOut bytes.Buffer
		g.Expect(newTool(&out, &errOut).run(t.Context(), append([]string{"check"}, c.args...))).To(Equal(c.code), c.golden)
		text := out.String()
		if c.code == exitFailed {
			text += errOut.String()
		}
		if *update {
			g.Expect(os.WriteFile(c.golden, []byte(text), 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(c.golden)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal(string(want)), c.golden)
	}
}

// Guards against a comparison with the store that fails before the first apply, misses a change, or hides an outage.
func TestCheckComparesWithAcceptedDeclarations(t *testing.T) {
	d := newDeployment(t, &process{})
	check := func(code int) string { return d.run(code, "check", "--active", "-s", d.settingsPath, d.dir) }
	d.Expect(check(exitOK)).To(ContainSubstring("targets[m1] added"))
	d.apply(exitOK)
	d.Expect(check(exitOK)).To(ContainSubstring("same meaning as the accepted declarations"))
	d.write(filepath.Join(d.dir, "b.json"), `{"limits": {"claims": 7}}`)
	d.Expect(check(exitOK)).To(ContainSubstring("limits.claims changed from 100 to 7"))
	d.store.SetOutage(true)
	d.Expect(check(exitFailed)).To(ContainSubstring("compare"))
	d.store.SetOutage(false)
	o, err := d.store.Get(d.ctx, conf.ConfigKind, conf.ConfigName)
	d.Expect(err).NotTo(HaveOccurred())
	_, err = d.store.Update(d.ctx, store.Object{Kind: o.Kind, Name: o.Name, Rev: o.Rev, Value: []byte("{")})
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(check(exitFailed)).To(ContainSubstring("decode configuration"))
}
