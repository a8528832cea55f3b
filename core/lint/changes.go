package lint

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

// TableChange is one difference between two configurations.
type TableChange struct {
	Action conf.Action
	List   List
	// Name is the name of the entry; empty for Limits.
	Name string
	// Field is empty if the whole entry was added or removed.
	Field Field
	// Old and New are the values for operators; empty where there is none.
	Old, New string
}

// formats return the values of fields, by type and name, whose meaning differs from their form. Equal texts have the same
// meaning. Other fields are compared by their values, so that a new field of package route is never left out.
var formats = map[string]func(v any) string{
	"Route.Shares":        func(v any) string { return formatShares(v.([]route.Share)) },
	"Route.HomeRegions":   func(v any) string { return formatHomes(v.([]ident.Region)) },
	"Account.HomeRegions": func(v any) string { return formatHomes(v.([]ident.Region)) },
	"Account.HasTier": func(v any) string {
		if v.(bool) {
			return "its own"
		}
		return "that of the route"
	},
	// Keys are secret; diffKeys counts them.
	"Account.Keys": func(any) string { return "" },
}

// Changes returns the differences in meaning from a to b. It ignores the order of entries and of home regions, the scale
// of weights, and defaults that are written out.
func Changes(a, b Tables) (out []TableChange) {
	out = diffEntries(Routes, a.Routes, b.Routes, func(r *route.Route) string { return string(r.Name) }, nil)
	out = append(out, diffEntries(Services, a.Services, b.Services, func(s *route.Service) string { return string(s.Name) }, nil)...)
	out = append(out, diffEntries(Accounts, a.Accounts, b.Accounts, func(a *route.Account) string { return string(a.Name) }, diffKeys)...)
	return append(out, diffFields(Limits, "", &a.Limits, &b.Limits)...)
}

// diffEntries compares entries by name. more returns further differences of two entries and may be nil.
func diffEntries[T any](l List, a, b []T, nameOf func(*T) string, more func(name string, a, b *T) []TableChange) (out []TableChange) {
	before, after := byName(a, nameOf), byName(b, nameOf)
	for i := range a {
		name := nameOf(&a[i])
		other, ok := after[name]
		if before[name] != &a[i] {
			continue // a repeated name, which the check reports
		}
		if !ok {
			out = append(out, TableChange{Action: conf.Removed, List: l, Name: name})
			continue
		}
		out = append(out, diffFields(l, name, &a[i], other)...)
		if more != nil {
			out = append(out, more(name, &a[i], other)...)
		}
	}
	for i := range b {
		if name := nameOf(&b[i]); before[name] == nil && after[name] == &b[i] {
			out = append(out, TableChange{Action: conf.Added, List: l, Name: name})
		}
	}
	return out
}

// byName returns the first entry of each name.
func byName[T any](list []T, nameOf func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		if name := nameOf(&list[i]); m[name] == nil {
			m[name] = &list[i]
		}
	}
	return m
}

func diffFields[T any](l List, name string, a, b *T) (out []TableChange) {
	before, after := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range before.NumField() {
		f := before.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		format := formats[before.Type().Name()+"."+f.Name]
		if format == nil {
			format = func(v any) string { return fmt.Sprint(v) }
		}
		if x, y := format(before.Field(i).Interface()), format(after.Field(i).Interface()); x != y {
			out = append(out, TableChange{Action: conf.Changed, List: l, Name: name, Field: Field(strings.ToLower(f.Name)), Old: x, New: y})
		}
	}
	return out
}

// diffKeys counts keys that were added or removed: keys are secret.
func diffKeys(name string, a, b *route.Account) []TableChange {
	missing := func(from, in []string) (n int) {
		for _, k := range from {
			if !slices.Contains(in, k) {
				n++
			}
		}
		return n
	}
	added, removed := missing(b.Keys, a.Keys), missing(a.Keys, b.Keys)
	if added == 0 && removed == 0 {
		return nil
	}
	return []TableChange{{
		Action: conf.Changed, List: Accounts, Name: name, Field: Keys, Old: count(len(a.Keys), "key"),
		New: fmt.Sprintf("%s (%d added, %d removed)", count(len(b.Keys), "key"), added, removed),
	}}
}

// formatShares returns the share of each service in percent.
func formatShares(list []route.Share) string {
	var sum float64
	weights := map[ident.Service]float64{}
	for _, s := range list {
		sum += s.Weight
		weights[s.Service] += s.Weight
	}
	var texts []string
	for s, w := range weights {
		if w != 0 {
			texts = append(texts, fmt.Sprintf("%s %.4g%%", s, 100*w/sum))
		}
	}
	slices.SortFunc(texts, cmp.Compare[string])
	return strings.Join(texts, ", ")
}

func formatHomes(list []ident.Region) string {
	if len(list) == 0 {
		return "anywhere"
	}
	texts := make([]string, 0, len(list))
	for _, r := range list {
		texts = append(texts, string(r))
	}
	slices.Sort(texts)
	return strings.Join(slices.Compact(texts), ", ")
}
