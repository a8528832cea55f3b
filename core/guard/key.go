package guard

import "strconv"

// Key identifies the subject of an entry; a newer entry replaces an older one with the same key.
func (e Entry) Key() string {
	return string(e.Kind) + "/" + strconv.FormatUint(uint64(e.Fingerprint), 16) + "/" + string(e.Target)
}
