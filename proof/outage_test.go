package proof_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an outage of the object API that stops calls which need no claim, lets a claimed call run
// without its claim, or loses the configuration in force.
func TestStoreOutage(t *testing.T) {
	for _, c := range []struct {
		example         string
		ask, keyed, get call
		order           func(string) call
	}{
		{"rekkverk", ask("painters", "painters-question", "Which primer?", 3, false), order("a"), status("1"), order},
		{"brunner", ask("web", "hire-question", "Which net?", 3, false), deposit("a"), stock("1"), deposit},
	} {
		t.Run(c.example, func(t *testing.T) {
			s := &script{site: open(t, c.example)}
			s.begin(c.ask, c.get)
			s.post("objects", "/faults", `{"outage":true}`)
			s.step("the object API is out: a question, a read and a call without a key run")
			s.call(0, c.ask)
			s.call(1, c.get)
			s.call(0, c.order(""))
			s.step("a call with a key is refused")
			refused := s.call(0, c.order("a"))
			s.Expect(refused.problem().Run).To(Equal("not run"))
			s.once(refused)
			s.step("a change of the configuration is not accepted")
			s.declare("80-change.json", `{"tiers": [{"name": "late", "rank": 9}]}`)
			s.run("apply", s.decl)
			s.run("show")
			s.post("objects", "/faults", `{}`)
			s.step("the object API is back: the call with the key runs, and the change is accepted")
			s.warm(c.order("warm"))
			s.call(0, c.order("a"))
			s.call(1, c.order("a"))
			s.run("apply", s.decl)
			s.await(2)
			s.run("show")
			s.once()
			s.golden("outage-" + c.example)
		})
	}
}
