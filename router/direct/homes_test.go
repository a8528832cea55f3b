package direct_test

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

// Guards against a request that is served outside the home regions of its route or account, and against a refusal for
// that reason that is none: the home target refuses requests, so that each of them is free to go elsewhere.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	home := startTarget(t, "t1", func(n int, r *http.Request, c net.Conn) bool {
		if n > 20 {
			return writeAnswer(c, r, 503, "", "X-Refused", "1")
		}
		return writeAnswer(c, r, 200, "ok")
	})
	away := startTarget(t, "t2", answerOK)
	e := newEnv(t)
	e.cfg.Centres = append(e.cfg.Centres, conf.Centre{Name: "b1", Region: "b"})
	l := routes()
	l[0].HomeRegions = []ident.Region{"b", "nowhere"}
	for i := range l {
		l[i].Public = false
	}
	account := route.Account{Name: "bound", Keys: []string{"bound"}, HomeRegions: []ident.Region{"b"}}
	free := route.Account{Name: "free", Keys: []string{"free"}, HomeRegions: []ident.Region{"nowhere"}}
	e.putObject("config", "main", config{Generation: 2, Routes: l, Accounts: []route.Account{account, free}})
	e.registerIn(home, "b1")
	e.registerIn(away, "a1")
	e.runRouter(t, e.store)
	for range 10 {
		e.g.Expect(e.request("GET", "/safe/", "", "X-Key", "free").code).To(Equal(200))
		e.g.Expect(e.request("POST", "/unsafe/", "", "X-Key", "bound").code).To(Equal(200))
	}
	e.g.Expect(away.requests()).To(BeEmpty())
	e.g.Expect(e.request("POST", "/unsafe/", "", "X-Key", "free").code).To(Equal(200))
	e.g.Expect(e.log.String()).To(ContainSubstring("event=320 key=accounts.homes name=free"))
	before := len(away.requests())
	for _, path := range []string{"/safe/", "/unsafe/"} {
		refused := e.request("POST", path, "", "X-Key", "bound", "X-Left", "800")
		e.g.Expect(refused.code).To(Equal(503))
		e.g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	e.g.Expect(away.requests()).To(HaveLen(before))
}
