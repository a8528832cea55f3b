package lint

import (
	"fmt"
	"slices"

	"hickoryvane.example/core/conf"
)

// Declared returns the warnings about declarations that conf.Load found no problem in. locate returns the file and line
// of a key.
func Declared(cfg conf.Config, locate func(key string) (file string, line int)) (out []Problem) {
	add := func(r Rule, key, format string, args ...any) {
		file, line := locate(key)
		out = append(out, Problem{Warning, r, conf.Problem{File: file, Line: line, Key: key, Text: fmt.Sprintf(format, args...)}})
	}
	for _, s := range cfg.Services {
		for _, r := range s.Routes {
			if r.Model == "" && s.Kind == conf.ModelService && coversAllModels(s, r) {
				add(Unreachable, fmt.Sprintf("services[%s].routes[%s]", s.Name, r.Name), "never matches: each model name of the service has a route of its own for this method and path")
			}
		}
	}
	for _, t := range cfg.Tiers {
		if !usesTier(cfg, t.Name) {
			add(Unreachable, fmt.Sprintf("tiers[%s]", t.Name), "no account and no route uses the tier")
		}
	}
	for _, a := range cfg.Accounts {
		if a.Rate == 0 && a.Burst > 0 {
			add(Contradiction, fmt.Sprintf("accounts[%s].burst", a.Name), "has no effect without a rate")
		}
	}
	return out
}

// coversAllModels reports whether each model name of the service has its own route for the method and path of r. A route
// with a model name precedes one without; see conf.Index.Route.
func coversAllModels(s conf.Service, r conf.Route) bool {
	for _, m := range append([]string{string(s.Name)}, s.Models...) {
		own := func(o conf.Route) bool { return o.Model == m && o.Method == r.Method && o.Path == r.Path }
		if !slices.ContainsFunc(s.Routes, own) {
			return false
		}
	}
	return true
}

func usesTier(cfg conf.Config, tier string) bool {
	if slices.ContainsFunc(cfg.Accounts, func(a conf.Account) bool { return a.Tier == tier || slices.Contains(a.Tiers, tier) }) {
		return true
	}
	return slices.ContainsFunc(cfg.Services, func(s conf.Service) bool {
		return slices.ContainsFunc(s.Routes, func(r conf.Route) bool { return r.Tier == tier })
	})
}

// DeclaredChanges returns the differences in meaning from a to b. It ignores the order of entries and of lists in which
// the order has no meaning.
func DeclaredChanges(a, b conf.Config) []conf.Change { return conf.Diff(ordered(a), ordered(b)) }

// ordered returns a copy of a configuration whose lists of names are sorted.
func ordered(cfg conf.Config) conf.Config {
	cfg.Regions, cfg.Accounts, cfg.Services = slices.Clone(cfg.Regions), slices.Clone(cfg.Accounts), slices.Clone(cfg.Services)
	for i := range cfg.Regions {
		cfg.Regions[i].Centres = slices.Sorted(slices.Values(cfg.Regions[i].Centres))
	}
	for i := range cfg.Accounts {
		a := &cfg.Accounts[i]
		a.Keys, a.Tiers = slices.Sorted(slices.Values(a.Keys)), slices.Sorted(slices.Values(a.Tiers))
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		s.Versions, s.Models = slices.Sorted(slices.Values(s.Versions)), slices.Sorted(slices.Values(s.Models))
	}
	return cfg
}
