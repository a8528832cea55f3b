package proof_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an outage of the object API that blocks calls which need no claim, lets a call with an
// idempotency key run without its claim, or loses the current configuration.
func TestStoreOutageRefusesOnlyClaims(t *testing.T) {
	for _, c := range []struct {
		example         string
		ask, keyed, get call
		order           func(string) call
	}{
		{"rekkverk", chatCall("painters", "painters-question", "Which primer?", 3, false), orderCall("a"), statusCall("1"), orderCall},
		{"brunner", chatCall("web", "hire-question", "Which net?", 3, false), depositCall("a"), stockCall("1"), depositCall},
	} {
		t.Run(c.example, func(t *testing.T) {
			s := &script{deployment: startDeployment(t, c.example)}
			s.applyAndWarmUp(c.ask, c.get)
			s.postStandin("objects", "/faults", `{"outage":true}`)
			s.heading("the object API is out: a question, a read and a call without a key run")
			s.call(0, c.ask)
			s.call(1, c.get)
			s.call(0, c.order(""))
			s.heading("a call with a key is refused")
			refused := s.call(0, c.order("a"))
			s.Expect(refused.problem().Run).To(Equal("not run"))
			s.checkAtMostOnce(refused)
			s.heading("a change of the configuration is not accepted")
			s.writeDeclaration("80-change.json", `{"tiers": [{"name": "late", "rank": 9}]}`)
			s.command("apply", s.declDir)
			s.command("show")
			s.postStandin("objects", "/faults", `{}`)
			s.heading("the object API is back: the call with the key runs, and the change is accepted")
			s.warmUp(c.order("warm"))
			s.call(0, c.order("a"))
			s.call(1, c.order("a"))
			s.command("apply", s.declDir)
			s.awaitGeneration(2)
			s.command("show")
			s.checkAtMostOnce()
			s.compareGolden("outage-" + c.example)
		})
	}
}
