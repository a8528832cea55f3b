package guard

import "strconv"

// Key names a fact, so that a newer statement replaces an older one about the same thing.
func (f Fact) Key() string {
	return string(f.Sort) + "/" + strconv.FormatUint(uint64(f.Print), 16) + "/" + string(f.Target)
}
