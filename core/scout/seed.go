package scout

import "hickoryvane.example/core/ident"

// Seeds.
//
// Load pattern: hundreds of routers that start together in front of thousands of targets, half of them behind a link to
// the store that they share. A list of all registrations at each of them fills that link for tens of seconds, and the
// configuration waits behind it. So the first routers of a region list, and the others start from the list of one of them.

// Seeder is another router as a source of a list.
type Seeder struct {
	ID     ident.ProcessID
	Rank   uint64
	Region ident.Region
	// Listed is true once the router knows all registrations, as of Position.
	Listed   bool
	Position Position
}

// ListsItself reports whether a router of the given rank and region lists at the store, because it is one of the first of
// its region among the routers that it hears.
func ListsItself(rank uint64, region ident.Region, heard []Seeder) bool {
	ahead := 0
	for _, p := range heard {
		if p.Region == region && p.Rank < rank {
			ahead++
		}
	}
	return ahead < scouts
}

// Seeders returns the routers of a region from whose list a router may start that has seen the revision own, which may be
// empty. Its own watch goes on from their position, so that must not be older.
func Seeders(region ident.Region, own Position, heard []Seeder) (out []Seeder) {
	for _, p := range heard {
		if p.Region == region && p.Listed && p.Position.Rev != "" && !p.Position.Behind(own) {
			out = append(out, p)
		}
	}
	return out
}
