package direct_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// get returns the body of a path of the router's admin address.
func (e *env) get(path string) []byte {
	res, err := http.Get("http://" + e.cfg.Admin + path)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	e.g.Expect(err).NotTo(HaveOccurred())
	return b
}

// Guards against a list or a metric that shows another state than the one on which placements are based, without what it
// is based on or what ends it.
func TestStatesOfTargetsAreShown(t *testing.T) {
	e := newColdEnv(t)
	paused := startTarget(t, "paused", func(_ int, r *http.Request, c net.Conn) bool {
		return writeAnswer(c, r, 503, "", "X-Refused", "1", "X-Pause", "60")
	})
	e.registerIn(paused, "a1")
	e.registerTarget(startTarget(t, "leaving", answerOK), true)
	e.registerIn(startTarget(t, "evacuated", answerOK), "c1")
	e.cfg.Centres = append(e.cfg.Centres, e.cfg.Centres[1])
	e.cfg.Centres[2].Name = "c1"
	e.evacuate("c1", true)
	e.runRouter(t, e.store)
	e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
	e.registerTarget(startTarget(t, "cold", answerOK), false)
	e.awaitEvent("event=520 target=cold")
	var l struct {
		Evacuated []string
		Targets   []struct {
			Target, State, Source, End string
			Left                       int64
		}
	}
	e.g.Expect(json.Unmarshal(e.get("/status"), &l)).To(Succeed())
	e.g.Expect(l.Evacuated).To(Equal([]string{"c1"}))
	states := map[string]string{}
	for _, x := range l.Targets {
		states[x.Target] = x.State
		if x.State == "cold" || x.State == "paused" {
			e.g.Expect(x.Left).To(BeNumerically(">", 0))
		}
		e.g.Expect([]bool{x.Source != "", x.End != ""}).To(Equal([]bool{x.State != "ready", x.State != "ready"}), x.Target)
	}
	e.g.Expect(states).To(Equal(map[string]string{"warm": "ready", "cold": "cold", "paused": "paused", "leaving": "leaving", "evacuated": "evacuated"}))
	for _, state := range []string{"ready", "cold", "paused", "leaving", "evacuated"} {
		e.g.Eventually(func() string { return string(e.get("/metrics")) }, 3*time.Second).Should(MatchRegexp(`hickoryvane_targets\{[^}]*service="s",state="` + state + `"[^}]*\} 1`))
	}
}
