package lint

import (
	"fmt"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

// Tables is what a routing table is built from, and what is known of the deployment around it.
type Tables struct {
	Routes   []route.Route
	Services []route.Service
	Accounts []route.Account
	Limits   route.Limits
	// Centres is the number of data centres by region; nil if the regions are not known.
	Centres map[ident.Region]int
	// Deadlines are the deadlines of requests by tier; a tier without one is not checked.
	Deadlines map[ident.Tier]time.Duration
	// Retries is nil if the retry budget is not known.
	Retries *Retries
}

// Retries is the retry budget of all routers: in each period, Ratio times the requests plus Extra.
type Retries struct{ Ratio, Extra float64 }

// List is a list of entries of Tables.
type List string

// Lists. Limits has one entry without a name.
const (
	Routes   List = "routes"
	Services List = "services"
	Accounts List = "accounts"
	Limits   List = "limits"
)

// Field is a field of an entry: the lower-case name of a field of route.Route, Service, Account or Limits. The adapter of
// a format translates it to the key of the format.
type Field string

// Fields that findings refer to.
const (
	Name           Field = "name"
	Host           Field = "host"
	Prefix         Field = "prefix"
	Shares         Field = "shares"
	Timeout        Field = "timeout"
	FirstEventGoal Field = "firsteventgoal"
	Attempts       Field = "attempts"
	Resumable      Field = "resumable"
	HomeRegions    Field = "homeregions"
	Keys           Field = "keys"
	Rate           Field = "rate"
	Burst          Field = "burst"
)

// Place is a field of an entry, or the entry itself if Field is empty.
type Place struct {
	List List
	// Index is the position in the list.
	Index int
	Field Field
}

// Finding is a problem in Tables whose key is not translated to a format yet.
type Finding struct {
	Severity Severity
	Rule     Rule
	Place    Place
	Text     string
}

// checker collects findings about one configuration.
type checker struct {
	Tables
	out []Finding
}

// Check returns what is wrong in a configuration, in the order of its entries.
func Check(t Tables) []Finding {
	c := &checker{Tables: t}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	return c.out
}

func (c *checker) add(s Severity, r Rule, p Place, format string, args ...any) {
	c.out = append(c.out, Finding{Severity: s, Rule: r, Place: p, Text: fmt.Sprintf(format, args...)})
}
