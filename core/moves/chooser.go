package moves

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

const (
	// reserve is the credit that a new session needs, so that sessions which came back find some.
	reserve = 2
	// sessionsMax bounds the routes counted.
	sessionsMax = 1024
)

// Chooser assigns requests to versions at one router during one move. It counts the requests of each
// route since its start and gives the trial version at most floor(5% of them). As each router rounds
// down by itself, the requests of all routers together stay within 5% of the route's requests at
// every moment, whatever the number of routers and however low the traffic. The price is that a
// router with fewer than 20 requests on a route sends none of them to the trial version.
type Chooser struct {
	m   *Machine
	rnd *rand.Rand
	// sent counts per route; a route that does not fit stays with the old version.
	sent map[ident.Route]*tally
}

type tally struct{ all, trial float64 }

// NewChooser returns a chooser for a move. It starts at zero with each boot of the router.
func NewChooser(m *Machine, rnd *rand.Rand) *Chooser {
	return &Chooser{m: m, rnd: rnd, sent: map[ident.Route]*tally{}}
}

// Assign returns the version for a request. token is the version that the request's session brought
// back, empty if none. Requests without session are spread at random. A session stays on its version
// while that is served and not bad, with two exceptions: the limit of 5% before a route is proved
// goes first, and at the full stage all go to the new version, as the soak needs full load.
func (c *Chooser) Assign(a ident.AccountID, session string, r ident.Route, token ident.Version) ident.Version {
	t := c.tally(r)
	share := c.m.Share(r)
	if t == nil || share == 0 {
		return c.count(t, c.m.move.From)
	}
	if share >= 1 {
		return c.count(t, c.m.move.To)
	}
	if c.trial(t, share, a, session, token) {
		return c.count(t, c.m.move.To)
	}
	return c.count(t, c.m.move.From)
}

// trial decides below the full stage.
func (c *Chooser) trial(t *tally, share float64, a ident.AccountID, session string, token ident.Version) bool {
	credit := Trial.Share()*(t.all+1) - t.trial
	first := share <= Trial.Share()
	switch {
	case token == c.m.move.From:
		return false
	case token == c.m.move.To:
		return !first || credit >= 1
	case session == "" && first:
		return credit >= 1
	case session == "":
		return c.rnd.Float64() < share
	case first:
		return credit >= reserve && c.unit(a, session) < share
	}
	return c.unit(a, session) < share
}

// unit maps an account's session to [0, 1), the same at all routers.
func (c *Chooser) unit(a ident.AccountID, session string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(c.m.move.Name) + "\x00" + string(a) + "\x00" + session)
	return float64(d.Sum64()>>11) / (1 << 53)
}

func (c *Chooser) tally(r ident.Route) *tally {
	if t := c.sent[r]; t != nil {
		return t
	}
	if len(c.sent) >= sessionsMax {
		return nil
	}
	t := &tally{}
	c.sent[r] = t
	return t
}

func (c *Chooser) count(t *tally, v ident.Version) ident.Version {
	if t != nil {
		t.all++
		if v == c.m.move.To {
			t.trial++
		}
	}
	return v
}

// Sent returns the requests of a route that this router assigned, in all and to the new version.
func (c *Chooser) Sent(r ident.Route) (all, trial int) {
	if t := c.sent[r]; t != nil {
		return int(t.all), int(t.trial)
	}
	return 0, 0
}
