package conf

import (
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// yearMin and yearMax catch deadlines with a mistyped year.
	yearMin = 2020
	yearMax = 2100
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern  = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
)

// form is a rule for texts and the words that describe it.
type form struct {
	ok   func(string) bool
	text string
}

var forms = map[string]form{
	"name":    {isName, "must be 1 to 64 letters, digits, dots, hyphens or underscores"},
	"label":   {labelPattern.MatchString, "must be 1 to 128 letters, digits or ._:/- characters"},
	"hash":    {isHash, "must be the SHA-256 of a key as 64 lower-case hexadecimal digits"},
	"path":    {pathPattern.MatchString, "must be a path that starts with /"},
	"address": {isAddress, "must be an IP number with a port, such as 10.0.0.1:8080"},
}

func isName(s string) bool { return namePattern.MatchString(s) }

// isHash also rejects the hash of the empty key, with which a caller without a key would pass.
func isHash(s string) bool { return hashPattern.MatchString(s) && s != ident.HashKey("") }

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// fields checks the values of a struct against its tags.
func (r *report) fields(v reflect.Value, key string) {
	for i, f := range r.keys(v.Type()) {
		path := join(key, f.Key)
		if f.Set != "" || r.has(path) {
			continue
		}
		r.field(v.Field(i), f, path)
	}
}

func (r *report) field(v reflect.Value, f Field, key string) {
	if f.Need && v.IsZero() && !v.CanInt() && !v.CanUint() && !v.CanFloat() {
		r.add(key, "is missing")
		return
	}
	switch t := v.Type(); {
	case isGroup(t):
		r.fields(v, key)
	case t.Kind() == reflect.Slice:
		r.elements(v, f, key)
	case t.Kind() == reflect.String:
		r.text(v.String(), f, key)
	default:
		r.number(v, f, key)
	}
}

func (r *report) elements(v reflect.Value, f Field, key string) {
	if low, high, ok := f.limits(); ok {
		r.count(v.Len(), low, high, key)
	}
	seen := map[string]bool{}
	for i := range v.Len() {
		path := item(key, i)
		if isEntries(v.Type()) {
			r.named(v.Index(i), key, path, seen)
			continue
		}
		s := v.Index(i).String()
		if seen[s] {
			r.add(path, "%q is given twice", s)
		}
		seen[s] = true
		if !r.has(path) {
			r.text(s, Field{Form: f.Form}, path)
		}
	}
}

func (r *report) count(n int, low, high int64, key string) {
	if int64(n) < low || int64(n) > high {
		r.add(key, "has %d entries; must have %d to %d", n, low, high)
	}
}

// named checks one entry of a list; a repeated name gets the path by position.
func (r *report) named(v reflect.Value, key, path string, seen map[string]bool) {
	name := entryName(v)
	switch {
	case !isName(name):
	case seen[name] && !r.has(path):
		r.add(path, "name %q is used twice", name)
	case !seen[name]:
		path = at(key, name)
	}
	seen[name] = true
	if !r.has(path) || isName(name) {
		r.fields(v, path)
	}
}

func (r *report) text(s string, f Field, key string) {
	if f.One != "" && !slices.Contains(strings.Fields(f.One), s) {
		r.add(key, "%q is not one of: %s", s, f.One)
	}
	if low, high, ok := f.limits(); ok && (int64(len(s)) < low || int64(len(s)) > high) {
		r.add(key, "has %d characters; must have %d to %d", len(s), low, high)
	}
	if rule, ok := forms[f.Form]; ok && (s != "" || f.Need) && !rule.ok(s) {
		r.add(key, "%q %s", s, rule.text)
	}
}

func (r *report) number(v reflect.Value, f Field, key string) {
	if t, ok := v.Interface().(time.Time); ok {
		if t.Year() < yearMin || t.Year() > yearMax {
			r.add(key, "year %d is not between %d and %d", t.Year(), yearMin, yearMax)
		}
		return
	}
	low, high, ok := f.limits()
	if !ok {
		return
	}
	if v.CanFloat() && (v.Float() < float64(low) || v.Float() > float64(high)) {
		r.add(key, "is %g; must be %d to %d", v.Float(), low, high)
	}
	if v.CanUint() && int64(v.Uint()) > high {
		r.add(key, "is %d; must be %d to %d", v.Uint(), low, high)
	}
	if v.CanInt() && (v.Int() < low || v.Int() > high) {
		r.add(key, "is %d; must be %d to %d", v.Int(), low, high)
	}
}
