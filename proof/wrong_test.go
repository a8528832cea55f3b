package proof_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a wrong declaration that is applied, and against faults that are not listed with file, line and key.
func TestWrongDeclaration(t *testing.T) {
	for _, c := range []struct{ name, example, good, wrong string }{
		{"rekkverk", "rekkverk", `{"accounts": [{"name": "guests", "keys": [], "tier": "none", "tiers": ["photo"]}]}`, `{
	"services": [{"name": "booking", "kind": "plane", "versions": ["v1"], "current": "v2", "routes": []}],
	"targets": [
		{"name": "booking-oslo", "vm": "vm-booking-oslo", "centre": "oslo", "service": "booking", "version": "v9", "class": "cpu", "colour": 1},
	],
}`},
		{"brunner", "brunner", `{"tiers": [{"name": "late", "rank": 0}]}`, `{"moves": [{"name": "m", "service": "site", "from": "m4", "to": "m3", "deadline": "soon"}]}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &script{site: open(t, c.example)}
			s.begin()
			s.step("a declaration with faults is checked and applied")
			s.declare("80-wrong.json", c.wrong)
			s.run("check", s.decl)
			s.run("apply", s.decl)
			s.step("another one")
			s.declare("80-wrong.json", c.good)
			s.run("apply", s.decl)
			s.step("a file that is not JSON")
			s.declare("80-wrong.json", `{"tiers": [`)
			s.run("apply", s.decl)
			s.step("the configuration in force is still the first")
			s.run("show")
			s.await(1)
			s.Expect(s.text.String()).NotTo(ContainSubstring("accepted as generation 2"))
			s.golden("wrong-" + c.name)
		})
	}
}

// Guards against wrong arguments and settings that end with another code than 2.
func TestWrongCommand(t *testing.T) {
	s := &script{site: open(t, "brunner")}
	s.run("apply")
	s.run("apply", "--expect", "x", s.decl)
	s.run("show", "more")
	out, code := s.tool("show", "--settings", s.dir+"/none.json")
	s.printf("$ hickoryvane show with settings that are not there\n%sexit %d\n", out, code)
	s.golden("wrong-command")
}
