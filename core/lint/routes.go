package lint

import (
	"slices"
	"strings"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

func (c *checker) checkRoutes() {
	type address struct{ host, prefix string }
	names, owner := map[ident.Route]bool{}, map[address]ident.Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		at := func(f Field) Place { return Place{Routes, i, f} }
		if names[r.Name] {
			c.add(Error, Invalid, at(Name), "name %q is used twice", r.Name)
		}
		names[r.Name] = true
		// route.Table.Match takes the first route of the longest prefix.
		if other, ok := owner[address{r.Host, r.Prefix}]; ok {
			c.add(Error, Unreachable, at(Prefix), "never matches: route %q has the same host and prefix", other)
		} else {
			owner[address{r.Host, r.Prefix}] = r.Name
		}
		c.checkAddress(r, at)
		c.checkShares(r, at)
		c.checkTimes(r, at)
		c.checkAttempts(r, at)
		c.checkHomes(r.HomeRegions, at(HomeRegions))
	}
}

// checkAddress checks that route.Table.Match can return the route: it compares the host in lower case without a port,
// and the paths of requests begin with a slash.
func (c *checker) checkAddress(r *route.Route, at func(Field) Place) {
	switch {
	case r.Host != strings.ToLower(r.Host):
		c.add(Error, Unreachable, at(Host), "never matches: the host is compared in lower case")
	case strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]"):
		c.add(Error, Unreachable, at(Host), "never matches: the host is compared without a port")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.add(Error, Unreachable, at(Prefix), "never matches: a path begins with a slash")
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(Error, Invalid, at(Prefix), "must end with a slash, otherwise it matches a part of a path segment")
	}
}

func (c *checker) checkShares(r *route.Route, at func(Field) Place) {
	var sum float64
	for _, s := range r.Shares {
		if s.Service != "" && !c.hasService(s.Service) {
			c.add(Error, Invalid, at(Shares), "service %q is not declared", s.Service)
		}
		if !(s.Weight >= 0) {
			c.add(Error, Invalid, at(Shares), "weight of service %q is %g; must not be negative", s.Service, s.Weight)
		}
		sum += s.Weight
	}
	if len(r.Shares) > 0 && !(sum > 0) {
		c.add(Error, Contradiction, at(Shares), "the sum of the weights is not positive")
	}
}

func (c *checker) hasService(name ident.Service) bool {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return true
		}
	}
	return false
}

func (c *checker) checkTimes(r *route.Route, at func(Field) Place) {
	limit, what := c.Deadlines[r.Tier], "deadline of its tier"
	if limit > 0 && r.Timeout > limit {
		c.add(Warning, Contradiction, at(Timeout), "%v is above the %s, %v", r.Timeout, what, limit)
	}
	if r.Timeout > 0 && (limit == 0 || r.Timeout < limit) {
		limit, what = r.Timeout, "timeout of the route"
	}
	if limit > 0 && r.FirstEventGoal > limit {
		c.add(Warning, Contradiction, at(FirstEventGoal), "%v is above the %s, %v", r.FirstEventGoal, what, limit)
	}
}

func (c *checker) checkAttempts(r *route.Route, at func(Field) Place) {
	if r.Resumable && r.Kind != route.Stream {
		c.add(Warning, Contradiction, at(Resumable), "has no effect: only streams can be resumed")
	}
	if r.Attempts <= 1 {
		return
	}
	if !r.Repeatable() {
		c.add(Warning, Contradiction, at(Attempts), "%d has no effect: a request of this route may run only once", r.Attempts)
		return
	}
	// Routers allow one retry a second beside the budget; see retry.FreeRetryInterval.
	retries := float64(r.Attempts - 1)
	if b := c.Retries; b != nil && retries > 1 && retries > b.Ratio+b.Extra {
		c.add(Warning, Contradiction, at(Attempts), "%d is above what the retry budget allows even for a single request, %g retries", r.Attempts, b.Ratio+b.Extra)
	}
}

// checkHomes checks a list of home regions against the regions of the deployment, if they are known.
func (c *checker) checkHomes(homes []ident.Region, at Place) {
	if c.Centres == nil || len(homes) == 0 {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(homes), func(h ident.Region) bool { return c.Centres[h] > 0 })
	if len(unknown) == len(homes) {
		c.add(Error, Unreachable, at, "the home regions exclude every data centre")
		return
	}
	for _, h := range unknown {
		c.add(Error, Invalid, at, "region %q has no data centre", h)
	}
}

func (c *checker) checkServices() {
	names, used := map[ident.Service]bool{}, map[ident.Service]bool{}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			used[s.Service] = true
		}
	}
	for i, s := range c.Services {
		switch {
		case names[s.Name]:
			c.add(Error, Invalid, Place{Services, i, Name}, "name %q is used twice", s.Name)
		case !used[s.Name]:
			c.add(Warning, Unreachable, Place{List: Services, Index: i}, "no route leads to the service")
		}
		names[s.Name] = true
	}
}
