package lint

import (
	"slices"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

func (c *checker) checkAccounts() {
	names, owner := map[ident.AccountID]bool{}, map[string]ident.AccountID{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		at := func(f Field) Place { return Place{Accounts, i, f} }
		if names[a.Name] {
			c.add(Error, Invalid, at(Name), "name %q is used twice", a.Name)
		}
		names[a.Name] = true
		c.checkKeys(a, owner, at)
		c.checkHomes(a.HomeRegions, at(HomeRegions))
		c.checkServed(a, at)
		c.checkRate(a, at)
	}
}

// checkKeys reports keys by position: they are secret.
func (c *checker) checkKeys(a *route.Account, owner map[string]ident.AccountID, at func(Field) Place) {
	for i, k := range a.Keys {
		other, ok := owner[k]
		switch {
		case k == "":
			c.add(Error, Invalid, at(Keys), "key %d is empty and would admit callers without a key", i+1)
		case ok && other == a.Name:
			c.add(Warning, Invalid, at(Keys), "key %d is given twice", i+1)
		case ok:
			c.add(Error, Invalid, at(Keys), "key %d is a key of account %q already", i+1, other)
		}
		owner[k] = a.Name
	}
	if len(a.Keys) == 0 {
		c.add(Warning, Unreachable, at(Keys), "no request can use the account: it has no key")
	}
}

// checkServed checks that the account and some route have a home region in common.
func (c *checker) checkServed(a *route.Account, at func(Field) Place) {
	excluded := 0
	for i := range c.Routes {
		if c.haveNoHome(a.HomeRegions, c.Routes[i].HomeRegions) {
			excluded++
		}
	}
	switch {
	case len(c.Routes) == 0 || len(a.HomeRegions) == 0:
	case excluded == len(c.Routes):
		c.add(Error, Unreachable, at(HomeRegions), "no route serves the account: none has one of its home regions")
	case excluded > 0:
		c.add(Warning, Unreachable, at(HomeRegions), "%d of %d routes have none of the account's home regions and refuse its requests", excluded, len(c.Routes))
	}
}

// haveNoHome reports whether both lists name regions and none is in both.
func (c *checker) haveNoHome(a, b []ident.Region) bool {
	return len(a) > 0 && len(b) > 0 && !slices.ContainsFunc(a, func(r ident.Region) bool { return slices.Contains(b, r) })
}

func (c *checker) checkRate(a *route.Account, at func(Field) Place) {
	switch {
	case a.Rate <= 0 && a.Burst > 0:
		c.add(Warning, Contradiction, at(Burst), "has no effect without a rate")
	case a.Rate <= 0:
	case a.Burst < 1:
		c.add(Error, Contradiction, at(Burst), "must be at least 1 when there is a rate")
	case a.DefaultTokens > a.Burst:
		c.add(Warning, Contradiction, at(Burst), "%d is below the cost of one request, %d", a.Burst, a.DefaultTokens)
	case a.DefaultTokens > a.Rate:
		c.add(Warning, Contradiction, at(Rate), "%d a second is below the cost of one request, %d", a.Rate, a.DefaultTokens)
	}
}
