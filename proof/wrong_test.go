package proof_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an invalid declaration that is applied, and against problems that are reported without file,
// line or key.
func TestInvalidDeclarationIsRejected(t *testing.T) {
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
			s := &script{deployment: startDeployment(t, c.example)}
			s.applyAndWarmUp()
			s.heading("a declaration with faults is checked and applied")
			s.writeDeclaration("80-wrong.json", c.wrong)
			s.command("check", s.declDir)
			s.command("apply", s.declDir)
			s.heading("another one")
			s.writeDeclaration("80-wrong.json", c.good)
			s.command("apply", s.declDir)
			s.heading("a file that is not JSON")
			s.writeDeclaration("80-wrong.json", `{"tiers": [`)
			s.command("apply", s.declDir)
			s.heading("the configuration in force is still the first")
			s.command("show")
			s.awaitGeneration(1)
			s.Expect(s.text.String()).NotTo(ContainSubstring("accepted as generation 2"))
			s.compareGolden("wrong-" + c.name)
		})
	}
}

// Guards against invalid arguments and settings that exit with a code other than 2.
func TestInvalidArgumentsExitWithCode2(t *testing.T) {
	s := &script{deployment: startDeployment(t, "brunner")}
	s.command("apply")
	s.command("apply", "--expect", "x", s.declDir)
	s.command("show", "more")
	out, code := s.operatorCommand("show", "--settings", s.runDir+"/none.json")
	s.printf("$ hickoryvane show with settings that are not there\n%sexit %d\n", out, code)
	s.compareGolden("wrong-command")
}
