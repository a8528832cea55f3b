package store

import (
	"strconv"
	"strings"
)

// Rev is an opaque version of an object or of the whole store. Versions are ordered within one history of the store.
// A store that is restored from an older copy begins a new history, in which numbers are given out again.
type Rev string

// RevOf returns the version with a number in a history. Histories are numbered in their order; zero stands for the
// first one and for a store that does not tell its histories apart.
func RevOf(history, number uint64) Rev {
	n := strconv.FormatUint(number, 10)
	if history == 0 {
		return Rev(n)
	}
	return Rev(strconv.FormatUint(history, 10) + "." + n)
}

// Split returns the history and the number of a version; ok is false if the version has another form, in which it
// cannot be compared.
func (r Rev) Split() (history, number uint64, ok bool) {
	h, n, found := strings.Cut(string(r), ".")
	if !found {
		h, n = "0", string(r)
	}
	history, herr := strconv.ParseUint(h, 10, 64)
	number, nerr := strconv.ParseUint(n, 10, 64)
	return history, number, herr == nil && nerr == nil
}

// Before reports whether a is known to be older than b: of an earlier history, or of the same with a lower number.
// Versions of another form are of unknown order.
func Before(a, b Rev) bool {
	ah, an, aok := a.Split()
	bh, bn, bok := b.Split()
	return aok && bok && (ah < bh || ah == bh && an < bn)
}

// Restored reports whether b is known to be of a later history than a, so that the store was restored in between.
func Restored(a, b Rev) bool {
	ah, _, aok := a.Split()
	bh, _, bok := b.Split()
	return aok && bok && ah < bh
}

// Copied reports whether an object that had version a can have come back with version b from a copy: the store was
// restored in between, and the object has the same number.
func Copied(a, b Rev) bool {
	_, an, _ := a.Split()
	_, bn, _ := b.Split()
	return Restored(a, b) && an == bn
}
