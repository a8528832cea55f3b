package moves

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

const (
	// reserve is the credit that a new session needs, so that sessions which came back find some.
	newSessionCredit = 2
	// sessionsMax bounds the routes counted.
	chooserRoutesMax = 1024
)

// Chooser assigns requests to versions at one router during one move. It counts the requests of each
// route since its start and gives the trial version at most floor(5% of them). As each router rounds
// down by itself, the requests of all routers together stay within 5% of the route's requests at
// every moment, whatever the number of routers and however low the traffic. The price is that a
// router with fewer than 20 requests on a route sends none of them to the trial version.
type Chooser struct {
	machine *Machine
	rnd     *rand.Rand
	// sent counts per route; a route that does not fit stays with the old version.
	tallies map[ident.Route]*tally
}

type tally struct{ total, canary float64 }

// NewChooser returns a chooser for a move. It starts at zero with each boot of the router.
func NewChooser(m *Machine, rnd *rand.Rand) *Chooser {
	return &Chooser{machine: m, rnd: rnd, tallies: map[ident.Route]*tally{}}
}

// Assign returns the version for a request. token is the version that the request's session brought
// back, empty if none. Requests without session are spread at random. A session stays on its version
// while that is served and not bad, with two exceptions: the limit of 5% before a route is proved
// goes first, and at the full stage all go to the new version, as the soak needs full load.
func (c *Chooser) Assign(a ident.AccountID, session string, r ident.Route, token ident.Version) ident.Version {
	t := c.tally(r)
	share := c.machine.Share(r)
	if t == nil || share == 0 {
		return c.countAssigned(t, c.machine.rollout.From)
	}
	if share >= 1 {
		return c.countAssigned(t, c.machine.rollout.To)
	}
	if c.chooseCanary(t, share, a, session, token) {
		return c.countAssigned(t, c.machine.rollout.To)
	}
	return c.countAssigned(t, c.machine.rollout.From)
}

// trial decides below the full stage.
func (c *Chooser) chooseCanary(t *tally, share float64, a ident.AccountID, session string, token ident.Version) bool {
	credit := StageCanary.Share()*(t.total+1) - t.canary
	first := share <= StageCanary.Share()
	switch {
	case token == c.machine.rollout.From:
		return false
	case token == c.machine.rollout.To:
		return !first || credit >= 1
	case session == "" && first:
		return credit >= 1
	case session == "":
		return c.rnd.Float64() < share
	case first:
		return credit >= newSessionCredit && c.sessionPoint(a, session) < share
	}
	return c.sessionPoint(a, session) < share
}

// unit maps an account's session to [0, 1), the same at all routers.
func (c *Chooser) sessionPoint(a ident.AccountID, session string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(c.machine.rollout.Name) + "\x00" + string(a) + "\x00" + session)
	return float64(d.Sum64()>>11) / (1 << 53)
}

func (c *Chooser) tally(r ident.Route) *tally {
	if t := c.tallies[r]; t != nil {
		return t
	}
	if len(c.tallies) >= chooserRoutesMax {
		return nil
	}
	t := &tally{}
	c.tallies[r] = t
	return t
}

func (c *Chooser) countAssigned(t *tally, v ident.Version) ident.Version {
	if t != nil {
		t.total++
		if v == c.machine.rollout.To {
			t.canary++
		}
	}
	return v
}

// Sent returns the requests of a route that this router assigned, in all and to the new version.
func (c *Chooser) AssignedCounts(r ident.Route) (all, trial int) {
	if t := c.tallies[r]; t != nil {
		return int(t.total), int(t.canary)
	}
	return 0, 0
}
