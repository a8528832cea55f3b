package conf

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// metricLabelsMax bounds the number of accounts and services together, because both are label values of metrics.
const metricLabelsMax = 1000

// checkReferences checks the references from one declaration to others.
func (r *report) checkReferences(cfg Config) {
	r.faulty = make(map[string]bool, len(r.problems))
	for _, p := range r.problems {
		r.faulty[p.Key] = true
	}
	if n := len(cfg.Accounts) + len(cfg.Services); n > metricLabelsMax {
		r.addUnlessFaulty("accounts", "%d accounts and services together; at most %d are allowed", n, metricLabelsMax)
	}
	r.checkRegions(cfg.Regions)
	r.checkTiers(cfg.Tiers)
	r.checkAccounts(cfg)
	r.checkServices(cfg)
	r.checkTargets(cfg)
	r.checkRollouts(cfg)
}

// checkRegions checks that each data centre is in only one region.
func (r *report) checkRegions(list []Region) {
	owner := map[ident.DataCentre]ident.Region{}
	for _, g := range list {
		for i, c := range g.Centres {
			if other, ok := owner[c]; ok && other != g.Name {
				r.addUnlessFaulty(elementKey(entryKey("regions", g.Name)+".centres", i), "data centre %q is in region %q already", c, other)
			}
			owner[c] = g.Name
		}
	}
}

// checkTiers checks that each rank belongs to only one tier.
func (r *report) checkTiers(list []Tier) {
	owner := map[ident.Tier]string{}
	for _, t := range list {
		if other, ok := owner[t.Rank]; ok && other != t.Name {
			r.addUnlessFaulty(entryKey("tiers", t.Name)+".rank", "rank %d is the rank of tier %q already", t.Rank, other)
		}
		owner[t.Rank] = t.Name
	}
}

// checkTier checks that the tier named at key is declared.
func (r *report) checkTier(cfg Config, key, name string) {
	known := slices.ContainsFunc(cfg.Tiers, func(t Tier) bool { return t.Name == name })
	if name != "" && !known && !r.faulty["tiers"] {
		r.addUnlessFaulty(key, "tier %q is not declared", name)
	}
}

func (r *report) checkAccounts(cfg Config) {
	owner := map[string]ident.AccountID{}
	for _, a := range cfg.Accounts {
		key := entryKey("accounts", a.Name)
		for i, k := range a.Keys {
			if other, ok := owner[k]; ok && other != a.Name {
				r.addUnlessFaulty(elementKey(key+".keys", i), "a key is a key of account %q already", other)
			}
			owner[k] = a.Name
		}
		r.checkTier(cfg, key+".tier", a.Tier)
		for i, t := range a.Tiers {
			r.checkTier(cfg, elementKey(key+".tiers", i), t)
		}
		if a.Tier != "" && len(a.Tiers) > 0 && !slices.Contains(a.Tiers, a.Tier) {
			r.addUnlessFaulty(key+".tier", "tier %q is not one of the account's tiers", a.Tier)
		}
		if a.Rate > 0 && a.Burst < 1 {
			r.addUnlessFaulty(key+".burst", "must be at least 1 when there is a rate")
		}
	}
}

func (r *report) checkTargets(cfg Config) {
	vms := map[ident.ProcessID]ident.TargetID{}
	for _, t := range cfg.Targets {
		key := entryKey("targets", t.Name)
		if other, ok := vms[t.VM]; ok && t.VM != "" && other != t.Name {
			r.addUnlessFaulty(key+".vm", "VM %q is used by target %q already", t.VM, other)
		}
		vms[t.VM] = t.Name
		inside := func(g Region) bool { return slices.Contains(g.Centres, t.Centre) }
		if t.Centre != "" && !r.faulty["regions"] && !slices.ContainsFunc(cfg.Regions, inside) {
			r.addUnlessFaulty(key+".centre", "data centre %q is in no region", t.Centre)
		}
		if s, ok := r.resolveService(cfg, key, t.Service); ok {
			r.checkVersion(s, key+".version", t.Version)
		}
	}
}

// resolveService returns the service that the entry at key refers to, or adds a problem if there is none.
func (r *report) resolveService(cfg Config, key string, name ident.Service) (s Service, ok bool) {
	if s, ok = findService(cfg, name); ok {
		return s, true
	}
	if name != "" && !r.faulty["services"] {
		r.addUnlessFaulty(key+".service", "service %q is not declared", name)
	}
	return s, false
}

// checkVersion checks that the version named at key is one of the service.
func (r *report) checkVersion(s Service, key string, v ident.Version) {
	if v != "" && !r.faulty[entryKey("services", s.Name)+".versions"] && !slices.Contains(s.Versions, v) {
		r.addUnlessFaulty(key, "version %q is not a version of service %q", v, s.Name)
	}
}

// hasTarget reports whether a target of the service runs the version.
func hasTarget(cfg Config, s ident.Service, v ident.Version) bool {
	return slices.ContainsFunc(cfg.Targets, func(t Target) bool { return t.Service == s && t.Version == v })
}
