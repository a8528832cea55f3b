package route

import (
	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
)

// HomesFault is a list of home regions that names regions without a data centre.
type HomesFault struct {
	// Key and Name tell whose list it is: that of a route or of an account.
	Key, Name string
	// Unknown are the regions without a data centre. Ignored is true if the list names no other, so that it is not applied.
	Unknown []ident.Region
	Ignored bool
}

// Keys of lists of home regions.
const (
	RouteHomesKey   = "routes.homes"
	AccountHomesKey = "accounts.homes"
)

// CheckHomes removes regions without a data centre from the lists of home regions. A list that names no other region is
// replaced by that of the same route or account in old, which may be nil. It must be called before the table is used.
func (t *Table) CheckHomes(exists func(ident.Region) bool, old *Table) (faults []HomesFault) {
	check := func(key, name string, list []ident.Region, before func() []ident.Region) []ident.Region {
		known, unknown, usable := avail.KnownHomes(list, exists)
		if len(unknown) > 0 {
			faults = append(faults, HomesFault{Key: key, Name: name, Unknown: unknown, Ignored: !usable})
		}
		if !usable && old != nil {
			return before()
		}
		return known
	}
	for _, l := range t.routesByHost {
		for _, r := range l {
			r.HomeRegions = check(RouteHomesKey, string(r.Name), r.HomeRegions, func() []ident.Region { return old.routeHomes(r) })
		}
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		a.HomeRegions = check(AccountHomesKey, string(a.Name), a.HomeRegions, func() []ident.Region { return old.accountHomes(a.Name) })
	}
	return faults
}

func (t *Table) routeHomes(like *Route) []ident.Region {
	for _, r := range t.routesByHost[like.Host] {
		if r.Name == like.Name {
			return r.HomeRegions
		}
	}
	return nil
}

func (t *Table) accountHomes(name ident.AccountID) []ident.Region {
	for _, a := range t.Accounts {
		if a.Name == name {
			return a.HomeRegions
		}
	}
	return nil
}
