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
type textForm struct {
	valid func(string) bool
	rule  string
}

var textForms = map[string]textForm{
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
func (r *report) checkFields(v reflect.Value, key string) {
	for i, f := range r.fieldsOf(v.Type()) {
		path := joinKey(key, f.Key)
		if f.SetBy != "" || r.hasProblem(path) {
			continue
		}
		r.checkField(v.Field(i), f, path)
	}
}

func (r *report) checkField(v reflect.Value, f Field, key string) {
	if f.Required && v.IsZero() && !v.CanInt() && !v.CanUint() && !v.CanFloat() {
		r.add(key, "is missing")
		return
	}
	switch t := v.Type(); {
	case isGroup(t):
		r.checkFields(v, key)
	case t.Kind() == reflect.Slice:
		r.checkElements(v, f, key)
	case t.Kind() == reflect.String:
		r.checkText(v.String(), f, key)
	default:
		r.checkNumber(v, f, key)
	}
}

func (r *report) checkElements(v reflect.Value, f Field, key string) {
	if low, high, ok := f.bounds(); ok {
		r.checkLength(v.Len(), low, high, key)
	}
	seen := map[string]bool{}
	for i := range v.Len() {
		path := elementKey(key, i)
		if isEntryList(v.Type()) {
			r.checkEntry(v.Index(i), key, path, seen)
			continue
		}
		s := v.Index(i).String()
		if seen[s] {
			r.add(path, "%q is given twice", s)
		}
		seen[s] = true
		if !r.hasProblem(path) {
			r.checkText(s, Field{Format: f.Format}, path)
		}
	}
}

func (r *report) checkLength(n int, low, high int64, key string) {
	if int64(n) < low || int64(n) > high {
		r.add(key, "has %d entries; must have %d to %d", n, low, high)
	}
}

// named checks one entry of a list; a repeated name gets the path by position.
func (r *report) checkEntry(v reflect.Value, key, path string, seen map[string]bool) {
	name := entryName(v)
	switch {
	case !isName(name):
	case seen[name] && !r.hasProblem(path):
		r.add(path, "name %q is used twice", name)
	case !seen[name]:
		path = entryKey(key, name)
	}
	seen[name] = true
	if !r.hasProblem(path) || isName(name) {
		r.checkFields(v, path)
	}
}

func (r *report) checkText(s string, f Field, key string) {
	if f.OneOf != "" && !slices.Contains(strings.Fields(f.OneOf), s) {
		r.add(key, "%q is not one of: %s", s, f.OneOf)
	}
	if low, high, ok := f.bounds(); ok && (int64(len(s)) < low || int64(len(s)) > high) {
		r.add(key, "has %d characters; must have %d to %d", len(s), low, high)
	}
	if rule, ok := textForms[f.Format]; ok && (s != "" || f.Required) && !rule.valid(s) {
		r.add(key, "%q %s", s, rule.rule)
	}
}

func (r *report) checkNumber(v reflect.Value, f Field, key string) {
	if t, ok := v.Interface().(time.Time); ok {
		if t.Year() < yearMin || t.Year() > yearMax {
			r.add(key, "year %d is not between %d and %d", t.Year(), yearMin, yearMax)
		}
		return
	}
	low, high, ok := f.bounds()
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
