package proof_test

import (
	"maps"

	. "github.com/onsi/gomega"
)

// dispatches counts the requests that the targets received, by request id and by idempotency key.
type dispatches struct {
	ids, keys map[string]int
}

// dispatches returns the sums over all targets. The targets must be running.
func (s *deployment) dispatches() dispatches {
	s.t.Helper()
	sum := dispatches{map[string]int{}, map[string]int{}}
	for _, p := range s.endpointsFor("model", "plain") {
		var plain struct{ Keys, IDs map[string]int }
		ids := map[string]int{}
		if p.use == "plain" {
			s.Expect(s.readJSON(p.addr, "/runs", &plain)).To(Succeed(), p.name)
			maps.Copy(ids, plain.IDs)
		} else {
			s.Expect(s.readJSON(p.addr, "/runs", &ids)).To(Succeed(), p.name)
		}
		for id, n := range ids {
			sum.ids[id] += n
		}
		for key, n := range plain.Keys {
			sum.keys[key] += n
		}
	}
	return sum
}

// checkAtMostOnce checks that no request id and no key ran twice, and that no request refused as "not run" ran.
func (s *deployment) checkAtMostOnce(replies ...reply) {
	s.t.Helper()
	r := s.dispatches()
	s.Expect(r.ids).NotTo(ContainElement(BeNumerically(">", 1)), "request ids")
	s.Expect(r.keys).NotTo(ContainElement(BeNumerically(">", 1)), "keys")
	for _, a := range replies {
		p := a.problem()
		if p.Run == "not run" {
			s.Expect(r.ids).NotTo(HaveKey(p.ID), "refused as not run")
			if a.key != "" {
				s.Expect(r.keys).NotTo(HaveKey(a.key), "refused as not run")
			}
		}
	}
}
