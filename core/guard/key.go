package guard

import "strconv"

// Key names a fact, so that a newer statement replaces an older one about the same thing.
func (f Entry) Key() string {
	return string(f.Kind) + "/" + strconv.FormatUint(uint64(f.Fingerprint), 16) + "/" + string(f.Target)
}
