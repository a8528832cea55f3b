package conf

import (
	"slices"

	"hickoryvane.example/core/ident"
)

func (r *report) checkServices(cfg Config) {
	models := map[string]ident.Service{}
	for _, s := range cfg.Services {
		key := entryKey("services", s.Name)
		r.checkVersion(s, key+".current", s.Current)
		if s.Current != "" && slices.Contains(s.Versions, s.Current) && !hasTarget(cfg, s.Name, s.Current) {
			r.addUnlessFaulty(key+".current", "no target runs version %q", s.Current)
		}
		r.checkModels(s, key, models)
		r.checkRoutes(cfg, s, key)
	}
	r.checkPaths(cfg.Services)
}

// models checks that each model name leads to one service.
func (r *report) checkModels(s Service, key string, owner map[string]ident.Service) {
	if s.Kind != ModelService {
		if len(s.Models) > 0 {
			r.addUnlessFaulty(key+".models", "only a model service has model names")
		}
		return
	}
	for _, m := range append([]string{string(s.Name)}, s.Models...) {
		if o, ok := owner[m]; ok && o != s.Name {
			r.addUnlessFaulty(key+".models", "model name %q belongs to service %q already", m, o)
		}
		owner[m] = s.Name
	}
}

func (r *report) checkRoutes(cfg Config, s Service, key string) {
	type call struct{ method, path, model string }
	owner := map[call]ident.Route{}
	for _, c := range s.Routes {
		path := entryKey(key+".routes", c.Name)
		r.checkTier(cfg, path+".tier", c.Tier)
		if c.Model != "" && c.Model != string(s.Name) && !slices.Contains(s.Models, c.Model) {
			r.addUnlessFaulty(path+".model", "model name %q is not one of the service", c.Model)
		}
		k := call{c.Method, c.Path, c.Model}
		if o, ok := owner[k]; ok && o != c.Name {
			r.addUnlessFaulty(path+".path", "%s %s is route %q already", c.Method, c.Path, o)
		}
		owner[k] = c.Name
	}
}

// paths checks that a call leads to one plain service. Model services may share paths with each other,
// because the model name tells them apart.
func (r *report) checkPaths(list []Service) {
	type call struct{ method, path string }
	owner := map[call]Service{}
	for _, s := range list {
		for _, c := range s.Routes {
			k := call{c.Method, c.Path}
			o, ok := owner[k]
			if ok && o.Name != s.Name && (o.Kind != ModelService || s.Kind != ModelService) {
				r.addUnlessFaulty(entryKey(entryKey("services", s.Name)+".routes", c.Name)+".path", "%s %s is a route of service %q already", c.Method, c.Path, o.Name)
			}
			owner[k] = s
		}
	}
}

// moves checks each move, and each pair of moves of one service that are not cancelled.
func (r *report) checkRollouts(cfg Config) {
	for i, m := range cfg.Rollouts {
		key := entryKey("moves", m.Name)
		if s, ok := r.resolveService(cfg, key, m.Service); ok {
			r.checkVersions(cfg, s, m, key)
			r.checkFrom(cfg, s, m, key)
		}
		if m.From != "" && m.From == m.To {
			r.addUnlessFaulty(key+".to", "is the same version as from")
		}
		for _, o := range cfg.Rollouts[:i] {
			if o.Service == m.Service && o.Name != m.Name && !o.Cancelled && !m.Cancelled {
				r.checkPair(o, m, key)
			}
		}
	}
}

// begins checks that a move starts from the version that serves, now or after the moves before it.
func (r *report) checkFrom(cfg Config, s Service, m Rollout, key string) {
	before := func(o Rollout) bool { return o.Service == m.Service && o.To == m.From && !o.Cancelled }
	if m.Cancelled || m.From == "" || m.From == s.Current || slices.ContainsFunc(cfg.Rollouts, before) {
		return
	}
	r.addUnlessFaulty(key+".from", "version %q is not the current one and no move leads to it; remove the move if it has ended", m.From)
}

// ends checks that both versions of a move exist and run on a target.
func (r *report) checkVersions(cfg Config, s Service, m Rollout, key string) {
	for _, e := range []struct {
		key     string
		version ident.Version
	}{{key + ".from", m.From}, {key + ".to", m.To}} {
		r.checkVersion(s, e.key, e.version)
		if slices.Contains(s.Versions, e.version) && !hasTarget(cfg, s.Name, e.version) {
			r.addUnlessFaulty(e.key, "no target runs version %q; remove the move if it has ended", e.version)
		}
	}
}

// pair checks a move against an earlier one of the same service.
func (r *report) checkPair(o, m Rollout, key string) {
	switch {
	case o.From == m.To && o.To == m.From:
		r.addUnlessFaulty(key, "is opposite to move %q; remove or cancel the one that has ended", o.Name)
	case o.From == m.From:
		r.addUnlessFaulty(key+".from", "overlaps move %q, which leaves version %q too", o.Name, m.From)
	case o.To == m.To:
		r.addUnlessFaulty(key+".to", "overlaps move %q, which leads to version %q too", o.Name, m.To)
	case o.To == m.From && !m.Deadline.After(o.Deadline):
		r.addUnlessFaulty(key+".deadline", "must be after the deadline of move %q, which runs first", o.Name)
	case o.From == m.To && !o.Deadline.After(m.Deadline):
		r.addUnlessFaulty(key+".deadline", "must be before the deadline of move %q, which runs after it", o.Name)
	}
}
