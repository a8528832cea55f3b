package proof_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

func order(key string) call {
	return call{account: "office", method: "POST", path: "/booking/orders", body: `{"object":"railing 7"}`, key: key}
}

func status(job string) call {
	return call{account: "office", method: "GET", path: "/booking/jobs/" + job}
}

func deposit(key string) call {
	return call{account: "rental", method: "POST", path: "/desk/deposits", body: `{"crew":"12","euro":300}`, key: key}
}

func stock(item string) call {
	return call{account: "dealers", method: "GET", path: "/desk/stock/" + item}
}

// Guards against any change of what callers and operators of the first deployment see on a usual day.
func TestWorkingDayRekkverk(t *testing.T) {
	s := &script{site: open(t, "rekkverk")}
	s.begin(ask("office", "painters-question", "warm", 1, false), status("0"))
	s.step("an inspector's draft, streamed")
	r := s.call(0, ask("inspectors", "coating-assessment", "Draft for the bridge at Voss.", 6, true))
	s.Expect(r.right()).To(BeTrue())
	s.step("the draft is read again at the other router from event 4")
	s.call(1, call{account: "inspectors", method: "GET", path: "/v1/answers/" + r.header.Get("X-Answer"), header: map[string]string{"Last-Event-ID": "3"}})
	s.step("a painter's question, whole")
	s.Expect(s.call(1, ask("painters", "painters-question", "Which primer for zinc?", 4, false)).right()).To(BeTrue())
	s.step("photo tagging")
	s.Expect(s.call(0, ask("archive", "photo-tagging", "Photo 4711", 3, false)).right()).To(BeTrue())
	s.step("a repaint order, and the same order again at the other router")
	s.call(0, order("order-1"))
	s.call(1, order("order-1"))
	s.step("the status of the job")
	s.call(1, status("1"))
	s.refusals("painters-question", "/booking/unknown")
	s.step("the fleet")
	s.run("show")
	s.run("moves")
	s.once()
	s.golden("day-rekkverk")
}

// Guards against any change of what callers and operators of the second deployment see on a usual day.
func TestWorkingDayBrunner(t *testing.T) {
	s := &script{site: open(t, "brunner")}
	s.begin(ask("web", "hire-question", "warm", 1, false), stock("0"))
	s.step("a site assessment, streamed")
	s.Expect(s.call(0, ask("crews", "site-assessment", "Wind at the yard", 5, true)).right()).To(BeTrue())
	s.step("a hire question, whole")
	s.Expect(s.call(1, ask("web", "hire-question", "Which net for 40 m?", 4, false)).right()).To(BeTrue())
	s.step("photo tagging")
	s.call(1, ask("photos", "photo-tagging", "Photo 12", 2, false))
	s.step("a deposit, and the same deposit again at the other router")
	s.call(1, deposit("deposit-1"))
	s.call(0, deposit("deposit-1"))
	s.step("stock")
	s.call(0, stock("net-40"))
	s.refusals("hire-question", "/desk/unknown")
	s.step("the fleet")
	s.run("show")
	s.run("moves")
	s.once()
	s.golden("day-brunner")
}

// refusals records calls that are wrong.
func (s *script) refusals(model, path string) {
	s.step("a wrong key, no key, an unknown model, an unknown path, a wrong tier, and a malformed body")
	s.call(0, ask("nobody", model, "x", 1, false))
	s.call(0, ask("", model, "x", 1, false))
	account := "office"
	if model == "hire-question" {
		account = "web"
	}
	s.call(0, ask(account, "no-model", "x", 1, false))
	s.call(1, call{account: account, method: "POST", path: path})
	c := ask(account, model, "x", 1, false)
	c.header = map[string]string{"X-Tier": "no-tier"}
	s.call(1, c)
	c.header, c.body = nil, "{"
	s.call(1, c)
}
