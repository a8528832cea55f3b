package conf

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// labelsMax bounds accounts and services together, because both are label values of metrics.
const metricLabelsMax = 1000

// references checks what one declaration says of others.
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

func (r *report) checkRegions(list []Region) {
	owner := map[ident.DataCentre]ident.Region{}
	for _, g := range list {
		for i, c := range g.Centres {
			if o, ok := owner[c]; ok && o != g.Name {
				r.addUnlessFaulty(elementKey(entryKey("regions", g.Name)+".centres", i), "data centre %q is in region %q already", c, o)
			}
			owner[c] = g.Name
		}
	}
}

func (r *report) checkTiers(list []Tier) {
	owner := map[ident.Tier]string{}
	for _, t := range list {
		if o, ok := owner[t.Rank]; ok && o != t.Name {
			r.addUnlessFaulty(entryKey("tiers", t.Name)+".rank", "rank %d is the rank of tier %q already", t.Rank, o)
		}
		owner[t.Rank] = t.Name
	}
}

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
			if o, ok := owner[k]; ok && o != a.Name {
				r.addUnlessFaulty(elementKey(key+".keys", i), "a key is a key of account %q already", o)
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
		if o, ok := vms[t.VM]; ok && t.VM != "" && o != t.Name {
			r.addUnlessFaulty(key+".vm", "VM %q is used by target %q already", t.VM, o)
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

// service finds the service that the entry at key names, or reports that there is none.
func (r *report) resolveService(cfg Config, key string, name ident.Service) (s Service, ok bool) {
	if s, ok = findService(cfg, name); ok {
		return s, true
	}
	if name != "" && !r.faulty["services"] {
		r.addUnlessFaulty(key+".service", "service %q is not declared", name)
	}
	return s, false
}

func (r *report) checkVersion(s Service, key string, v ident.Version) {
	if v != "" && !r.faulty[entryKey("services", s.Name)+".versions"] && !slices.Contains(s.Versions, v) {
		r.addUnlessFaulty(key, "version %q is not a version of service %q", v, s.Name)
	}
}

// runs reports whether a target of the service runs the version.
func hasTarget(cfg Config, s ident.Service, v ident.Version) bool {
	return slices.ContainsFunc(cfg.Targets, func(t Target) bool { return t.Service == s && t.Version == v })
}
