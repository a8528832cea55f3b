package proof_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

func orderCall(key string) call {
	return call{account: "office", method: "POST", path: "/booking/orders", body: `{"object":"railing 7"}`, key: key}
}

func statusCall(job string) call {
	return call{account: "office", method: "GET", path: "/booking/jobs/" + job}
}

func depositCall(key string) call {
	return call{account: "rental", method: "POST", path: "/desk/deposits", body: `{"crew":"12","euro":300}`, key: key}
}

func stockCall(item string) call {
	return call{account: "dealers", method: "GET", path: "/desk/stock/" + item}
}

// Guards against unintended changes of the output that callers and operators of the rekkverk example see on a
// usual day.
func TestWorkingDayRekkverk(t *testing.T) {
	s := &script{deployment: startDeployment(t, "rekkverk")}
	s.applyAndWarmUp(chatCall("office", "painters-question", "warm", 1, false), statusCall("0"))
	s.heading("an inspector's draft, streamed")
	r := s.call(0, chatCall("inspectors", "coating-assessment", "Draft for the bridge at Voss.", 6, true))
	s.Expect(r.hasExpectedText()).To(BeTrue())
	s.heading("the draft is read again at the other router from event 4")
	s.call(1, call{account: "inspectors", method: "GET", path: "/v1/answers/" + r.header.Get("X-Answer"), header: map[string]string{"Last-Event-ID": "3"}})
	s.heading("a painter's question, whole")
	s.Expect(s.call(1, chatCall("painters", "painters-question", "Which primer for zinc?", 4, false)).hasExpectedText()).To(BeTrue())
	s.heading("photo tagging")
	s.Expect(s.call(0, chatCall("archive", "photo-tagging", "Photo 4711", 3, false)).hasExpectedText()).To(BeTrue())
	s.heading("a repaint order, and the same order again at the other router")
	s.call(0, orderCall("order-1"))
	s.call(1, orderCall("order-1"))
	s.heading("the status of the job")
	s.call(1, statusCall("1"))
	s.recordRefusals("painters-question", "/booking/unknown")
	s.heading("the fleet")
	s.command("show")
	s.command("moves")
	s.checkAtMostOnce()
	s.compareGolden("day-rekkverk")
}

// Guards against unintended changes of the output that callers and operators of the brunner example see on a
// usual day.
func TestWorkingDayBrunner(t *testing.T) {
	s := &script{deployment: startDeployment(t, "brunner")}
	s.applyAndWarmUp(chatCall("web", "hire-question", "warm", 1, false), stockCall("0"))
	s.heading("a site assessment, streamed")
	s.Expect(s.call(0, chatCall("crews", "site-assessment", "Wind at the yard", 5, true)).hasExpectedText()).To(BeTrue())
	s.heading("a hire question, whole")
	s.Expect(s.call(1, chatCall("web", "hire-question", "Which net for 40 m?", 4, false)).hasExpectedText()).To(BeTrue())
	s.heading("photo tagging")
	s.call(1, chatCall("photos", "photo-tagging", "Photo 12", 2, false))
	s.heading("a deposit, and the same deposit again at the other router")
	s.call(1, depositCall("deposit-1"))
	s.call(0, depositCall("deposit-1"))
	s.heading("stock")
	s.call(0, stockCall("net-40"))
	s.recordRefusals("hire-question", "/desk/unknown")
	s.heading("the fleet")
	s.command("show")
	s.command("moves")
	s.checkAtMostOnce()
	s.compareGolden("day-brunner")
}

// recordRefusals records calls that must be refused.
func (s *script) recordRefusals(model, path string) {
	s.heading("a wrong key, no key, an unknown model, an unknown path, a wrong tier, and a malformed body")
	s.call(0, chatCall("nobody", model, "x", 1, false))
	s.call(0, chatCall("", model, "x", 1, false))
	account := "office"
	if model == "hire-question" {
		account = "web"
	}
	s.call(0, chatCall(account, "no-model", "x", 1, false))
	s.call(1, call{account: account, method: "POST", path: path})
	c := chatCall(account, model, "x", 1, false)
	c.header = map[string]string{"X-Tier": "no-tier"}
	s.call(1, c)
	c.header, c.body = nil, "{"
	s.call(1, c)
}
