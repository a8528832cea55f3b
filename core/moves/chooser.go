package moves

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

const (
	// newSessionCredit is the number of canary requests that must be allowed before a new session is assigned to
	// the canary, so that returning canary sessions are not turned away.
	newSessionCredit = 2
	// chooserRoutesMax bounds the routes counted.
	chooserRoutesMax = 1024
)

// Chooser assigns requests to versions at one router during one rollout. It counts the requests of each route
// since its start and sends at most floor(5% of them) to the canary version. As each router rounds down
// separately, the canary requests of all routers together stay within 5% of the route's requests at all times, for
// any number of routers and any amount of traffic. In return, a router with fewer than 20 requests on a route
// sends none of them to the canary version.
type Chooser struct {
	machine *Machine
	rnd     *rand.Rand
	// tallies counts requests per route; requests of routes beyond the bound go to the old version.
	tallies map[ident.Route]*tally
}

type tally struct{ total, canary float64 }

// NewChooser returns a chooser for a rollout. Its counts start at zero at each boot of the router.
func NewChooser(m *Machine, rnd *rand.Rand) *Chooser {
	return &Chooser{machine: m, rnd: rnd, tallies: map[ident.Route]*tally{}}
}

// Assign returns the version for a request. sessionVersion is the version that earlier requests of its session
// got, empty if there is none. Requests without a session are distributed at random. A session stays on its
// version while that is served and not bad, with two exceptions: the limit of 5% until a route is proven takes
// precedence, and at the full stage all requests go to the new version, as the soak needs full load.
func (c *Chooser) Assign(a ident.AccountID, session string, r ident.Route, sessionVersion ident.Version) ident.Version {
	t := c.tally(r)
	share := c.machine.Share(r)
	if t == nil || share == 0 {
		return c.countAssigned(t, c.machine.rollout.From)
	}
	if share >= 1 {
		return c.countAssigned(t, c.machine.rollout.To)
	}
	if c.chooseCanary(t, share, a, session, sessionVersion) {
		return c.countAssigned(t, c.machine.rollout.To)
	}
	return c.countAssigned(t, c.machine.rollout.From)
}

// chooseCanary reports whether a request goes to the new version below the full stage.
func (c *Chooser) chooseCanary(t *tally, share float64, a ident.AccountID, session string, sessionVersion ident.Version) bool {
	credit := StageCanary.Share()*(t.total+1) - t.canary
	atCanaryStage := share <= StageCanary.Share()
	switch {
	case sessionVersion == c.machine.rollout.From:
		return false
	case sessionVersion == c.machine.rollout.To:
		return !atCanaryStage || credit >= 1
	case session == "" && atCanaryStage:
		return credit >= 1
	case session == "":
		return c.rnd.Float64() < share
	case atCanaryStage:
		return credit >= newSessionCredit && c.sessionPoint(a, session) < share
	}
	return c.sessionPoint(a, session) < share
}

// sessionPoint maps a session of an account to a point in [0, 1), which is the same at all routers.
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

// AssignedCounts returns the requests of a route that this router assigned, in total and to the new version.
func (c *Chooser) AssignedCounts(r ident.Route) (total, canary int) {
	if t := c.tallies[r]; t != nil {
		return int(t.total), int(t.canary)
	}
	return 0, 0
}
