package avail

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// Homes are the regions in which a request may be served and stored. The zero value allows every region.
type Homes struct {
	// restricted is true if only regions may serve the request, which may be none.
	restricted bool
	regions    []ident.Region
}

// HomesOf returns the regions that both lists allow; an empty list allows every region.
func HomesOf(a, b []ident.Region) Homes {
	switch {
	case len(a) == 0 && len(b) == 0:
		return Homes{}
	case len(a) == 0:
		return Homes{restricted: true, regions: b}
	case len(b) == 0:
		return Homes{restricted: true, regions: a}
	}
	h := Homes{restricted: true}
	for _, r := range a {
		if slices.Contains(b, r) {
			h.regions = append(h.regions, r)
		}
	}
	return h
}

// Allow reports whether a target of a region may serve the request.
func (h Homes) Allow(r ident.Region) bool { return !h.restricted || slices.Contains(h.regions, r) }

// Restricted reports whether a region is excluded.
func (h Homes) Restricted() bool { return h.restricted }

// KnownHomes splits a list of home regions into those that have a data centre and the others. A list without any region
// that has a data centre excludes all of them; it is not applied, which usable reports.
func KnownHomes(list []ident.Region, exists func(ident.Region) bool) (known, unknown []ident.Region, usable bool) {
	for _, r := range list {
		if exists(r) {
			known = append(known, r)
		} else {
			unknown = append(unknown, r)
		}
	}
	return known, unknown, len(known) > 0 || len(list) == 0
}
